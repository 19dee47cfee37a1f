package org.persimmonloom.core.scheduling;

import java.util.Collection;
import java.util.List;

/**
 * Decides which runs are stopped, and when an unanswered stop is repeated. A run has one stop order
 * at a time, so that a worker that does not answer has no more orders than runs. Stateless.
 */
final class RunStops {
  /** Pause between a stop without a confirmation and the next one. */
  private static final long STOP_RETRY_MILLIS = 300;

  /** A start without a response is stopped if the worker does not report the run by this time. */
  private static final long UNANSWERED_START_TIMEOUT_MILLIS = 400;

  private RunStops() {}

  /** Adds the stop orders to send now. */
  static void add(Collection<WorkerState> workers, List<Order> orders, long nowMillis) {
    for (WorkerState worker : workers) {
      for (TaskRun run : worker.runs.values()) {
        if (needsStop(run, nowMillis)) {
          orders.add(run.stop(nowMillis));
        }
      }
    }
  }

  private static boolean needsStop(TaskRun run, long nowMillis) {
    long sinceOrder = nowMillis - run.lastOrderMillis;
    if (run.phase == TaskRun.Phase.STOPPING) {
      return !run.isStopPending
          && run.orderAnsweredMillis == Long.MAX_VALUE
          && sinceOrder >= STOP_RETRY_MILLIS;
    }
    if (run.phase == TaskRun.Phase.STARTING) {
      // The worker is reachable again, so a report would have shown the run if it had started.
      return run.isUnanswered
          && run.worker.isReachable
          && sinceOrder >= UNANSWERED_START_TIMEOUT_MILLIS;
    }
    return !run.isNeeded() && !run.mayHaveUnlistedEnd;
  }
}
