package org.persimmonloom.core.scheduling;

/** Applies the results of orders to their runs and workers. Not thread-safe. */
final class OrderResultHandler {
  private static final int FULL_PERCENT = 100;
  private static final long AVOID_FULL_MILLIS = 250;
  private static final long AVOID_UNHEALTHY_MILLIS = 1_000;

  private final RunEndHandler endHandler;
  private final OccurrenceTable occurrenceTable;

  OrderResultHandler(RunEndHandler endHandler, OccurrenceTable occurrenceTable) {
    this.endHandler = endHandler;
    this.occurrenceTable = occurrenceTable;
  }

  /** Applies the result of an order whose run still exists. */
  void orderAnswered(Order order, TaskRun run, CallResult result, long nowMillis) {
    if (order instanceof Order.Start) {
      startAnswered(run, result, nowMillis);
    } else if (order instanceof Order.Stop) {
      stopAnswered(run, result, nowMillis);
    } else if (order instanceof Order.Pace && result != CallResult.ACCEPTED) {
      // The order may not have taken effect; the next decision sets the speed again.
      run.pacePercent = FULL_PERCENT;
    }
  }

  private void startAnswered(TaskRun run, CallResult result, long nowMillis) {
    switch (result) {
      case ACCEPTED, RUN_SUPERSEDED -> {
        occurrenceTable.markBegun(occurrenceTable.occurrence(run.task));
        // A stopping run has had a stop order since, which is repeated until it is confirmed.
        if (run.phase != TaskRun.Phase.STOPPING) {
          run.orderAnsweredMillis = nowMillis;
          run.phase = TaskRun.Phase.RUNNING;
        }
      }
      case UNKNOWN -> {
        run.isUnanswered = true;
        run.lastOrderMillis = nowMillis;
        run.worker.isReachable = false;
      }
      case NOT_SENT -> {
        run.worker.isReachable = false;
        endHandler.release(run, RunRelease.NOT_SENT, nowMillis, nowMillis);
      }
      case PERMISSION_EXPIRED -> endHandler.release(run, RunRelease.REFUSED, nowMillis, nowMillis);
      case NO_ROOM -> {
        run.worker.avoidUntilMillis = nowMillis + AVOID_FULL_MILLIS;
        endHandler.release(run, RunRelease.REFUSED, nowMillis, nowMillis);
      }
      default -> {
        run.worker.avoidUntilMillis = nowMillis + AVOID_UNHEALTHY_MILLIS;
        endHandler.release(run, RunRelease.REFUSED, nowMillis, nowMillis);
      }
    }
  }

  private static void stopAnswered(TaskRun run, CallResult result, long nowMillis) {
    run.isStopPending = false;
    run.lastOrderMillis = nowMillis;
    switch (result) {
      case UNKNOWN, NOT_SENT -> run.worker.isReachable = false;
      case ACCEPTED, RUN_SUPERSEDED -> run.orderAnsweredMillis = nowMillis;
      default -> {
        // The stop is repeated.
      }
    }
  }
}
