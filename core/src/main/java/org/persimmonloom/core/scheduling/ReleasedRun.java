package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.TaskId;

/**
 * A run that no longer occupies its task. Immutable.
 *
 * @param task the task
 * @param number number of the run
 * @param worker identifier of the worker
 * @param release what shows that the run is over
 * @param evidenceMillis monotonic time at which the evidence was requested, in ms
 * @param lastReportMillis monotonic time of the worker's last report, in ms; 0 if it has not
 *     reported
 * @param releasedMillis monotonic time at which the run was released, in ms
 */
public record ReleasedRun(
    TaskId task,
    int number,
    String worker,
    RunRelease release,
    long evidenceMillis,
    long lastReportMillis,
    long releasedMillis) {}
