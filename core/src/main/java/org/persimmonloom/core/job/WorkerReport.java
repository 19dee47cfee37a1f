package org.persimmonloom.core.job;

import java.util.List;

/**
 * A worker's answer to {@code GET /tasks}.
 *
 * @param boot rises with each boot
 * @param clockMillis the worker's clock; leases count from a reading of it
 * @param tasks running tasks, and ended ones for at least {@link #ENDED_TASK_RETENTION_MILLIS}
 */
public record WorkerReport(long boot, long clockMillis, List<TaskReport> tasks) {
  /**
   * How long a worker remembers ended tasks. Longer than the fold's lease, so that a repeated start
   * never meets a worker that forgot the first one.
   */
  public static final long ENDED_TASK_RETENTION_MILLIS = 2 * LeaseRules.FOLD_LEASE_MILLIS;

  public WorkerReport {
    tasks = List.copyOf(tasks);
  }
}
