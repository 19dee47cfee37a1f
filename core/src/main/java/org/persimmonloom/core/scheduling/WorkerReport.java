package org.persimmonloom.core.scheduling;

import java.util.List;

/**
 * A worker's status report: its present runs and its unacknowledged ends. Immutable.
 *
 * @param clockMillis reading of the worker's monotonic clock
 * @param bornMillis Unix time at which the worker process started; 0 if unknown
 * @param running runs present on the worker
 * @param ended ended runs that the owner has not acknowledged
 */
public record WorkerReport(
    long clockMillis, long bornMillis, List<RunningTask> running, List<EndedTask> ended) {
  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
