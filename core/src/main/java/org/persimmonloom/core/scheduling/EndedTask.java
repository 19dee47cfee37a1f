package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.TaskId;

/**
 * A run that a worker reports as ended.
 *
 * @param number sequence number of the end on this worker, from 1
 * @param task the task
 * @param run number of the run
 * @param cause why the run ended
 * @param checkpoint last checkpoint; empty if there is none
 */
public record EndedTask(long number, TaskId task, int run, EndCause cause, String checkpoint) {}
