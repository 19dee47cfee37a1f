package org.persimmonloom.core.scheduling;

import java.util.List;

/**
 * A worker's status report: its present runs and its unacknowledged ends. Immutable.
 *
 * @param clockMillis reading of the worker's monotonic clock
 * @param bornMillis Unix time at which the worker process started; 0 if unknown
 * @param running runs present on the worker
 * @param ended ended runs that the owner has not acknowledged, oldest first
 * @param listsAllEnds whether {@code ended} is complete. Otherwise a run that the report lacks may
 *     have an end that is not listed yet
 */
public record WorkerReport(
    long clockMillis,
    long bornMillis,
    List<RunningTask> running,
    List<EndedTask> ended,
    boolean listsAllEnds) {
  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /** Creates a report that lists all ends. */
  public WorkerReport(
      long clockMillis, long bornMillis, List<RunningTask> running, List<EndedTask> ended) {
    this(clockMillis, bornMillis, running, ended, true);
  }
}
