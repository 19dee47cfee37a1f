package org.persimmonloom.core.scheduling;

/** Draws the consequences of workers' answers to orders about runs. Not thread-safe. */
final class OrderResultHandler {
  private static final int FULL_PACE = 100;
  private static final long AVOID_FULL_MILLIS = 250;
  private static final long AVOID_UNHEALTHY_MILLIS = 1_000;

  private final RunEndHandler ends;

  OrderResultHandler(RunEndHandler ends) {
    this.ends = ends;
  }

  /** Takes over the answer to an order about a run that its worker still has. */
  void orderAnswered(Order order, TaskRun run, CallResult result, long nowMillis) {
    if (order instanceof Order.Start) {
      startAnswered(run, result, nowMillis);
    } else if (order instanceof Order.Stop) {
      stopAnswered(run, result, nowMillis);
    } else if (order instanceof Order.Pace && result != CallResult.ACCEPTED) {
      // Unknown whether it took effect; the next decision sets the pace anew.
      run.pacePercent = FULL_PACE;
    }
  }

  private void startAnswered(TaskRun run, CallResult result, long nowMillis) {
    switch (result) {
      case ACCEPTED, RUN_SUPERSEDED -> {
        // The order to stop is the last one about the run, and is repeated until it is answered.
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
        ends.removeRun(run);
      }
      case PERMISSION_EXPIRED -> ends.removeRun(run);
      case NO_ROOM -> {
        run.worker.avoidUntilMillis = nowMillis + AVOID_FULL_MILLIS;
        ends.removeRun(run);
      }
      default -> {
        run.worker.avoidUntilMillis = nowMillis + AVOID_UNHEALTHY_MILLIS;
        ends.removeRun(run);
      }
    }
  }

  private static void stopAnswered(TaskRun run, CallResult result, long nowMillis) {
    switch (result) {
      case UNKNOWN, NOT_SENT -> run.worker.isReachable = false;
      case ACCEPTED, RUN_SUPERSEDED -> run.orderAnsweredMillis = nowMillis;
      default -> run.lastOrderMillis = nowMillis;
    }
  }
}
