package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.TaskId;

/**
 * A run that a worker lists as ended.
 *
 * @param number position in the worker's sequence of ends, from 1
 * @param task the task
 * @param run number of the run
 * @param cause why it ended
 * @param checkpoint last checkpoint, or empty
 */
public record EndedTask(long number, TaskId task, int run, EndCause cause, String checkpoint) {}
