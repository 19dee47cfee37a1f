package org.persimmonloom.core.scheduling;

import java.util.List;

/**
 * A worker's lists of runs at one moment.
 *
 * @param clockMillis the worker's steady clock
 * @param bornMillis Unix time of the worker's start; 0 if it did not say
 * @param running runs that are present
 * @param ended ends that were not acknowledged yet
 */
public record WorkerReport(
    long clockMillis, long bornMillis, List<RunningTask> running, List<EndedTask> ended) {
  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
