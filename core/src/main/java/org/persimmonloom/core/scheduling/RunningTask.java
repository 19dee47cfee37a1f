package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.TaskId;

/**
 * A run that a worker lists as present.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint newest checkpoint, or empty
 * @param percent share of full speed at which it works
 * @param load tail latency in ms of a serving task, thousandths of a core in use of another
 */
public record RunningTask(TaskId task, int run, String checkpoint, int percent, int load) {}
