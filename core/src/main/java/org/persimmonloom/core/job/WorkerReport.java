package org.persimmonloom.core.job;

import java.util.List;

/**
 * A worker's response to {@code GET /tasks}.
 *
 * @param boot boot number; increases with each boot
 * @param clockMillis reading of the worker's clock, from which leases count
 * @param tasks running tasks, and ended tasks for at least {@link #ENDED_TASK_RETENTION_MILLIS}
 */
public record WorkerReport(long boot, long clockMillis, List<TaskReport> tasks) {
  /**
   * How long a worker keeps ended tasks, in milliseconds. This is longer than the fold's lease, so
   * a repeated start never arrives after the worker has discarded the task of the first one.
   */
  public static final long ENDED_TASK_RETENTION_MILLIS = 2 * LeaseRules.FOLD_LEASE_MILLIS;

  public WorkerReport {
    tasks = List.copyOf(tasks);
  }
}
