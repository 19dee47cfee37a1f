package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.TaskId;

/**
 * A run that a worker reports as present. A run that is being stopped is reported until it ends.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint newest checkpoint; empty if there is none
 * @param percent current speed as a percentage of full speed
 * @param load tail latency in ms for a task with a latency target; otherwise the processor use in
 *     thousandths of a core
 */
public record RunningTask(TaskId task, int run, String checkpoint, int percent, int load) {}
