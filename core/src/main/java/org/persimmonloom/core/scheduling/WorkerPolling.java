package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Decides when workers are polled, which also extends their leases. Stateless. */
final class WorkerPolling {
  /** Minimum interval between polls of a worker with ends that it may not forget yet, in ms. */
  private static final long UNRECORDED_POLL_MILLIS = 300;

  /** Minimum interval between polls, which coalesces run ends that are close together, in ms. */
  private static final long COALESCE_MILLIS = 25;

  /**
   * Maximum polls of busy workers, per second. Above it, polls are spread out: an owner that polls
   * faster than it can handle the reports delays its own orders.
   */
  private static final long MAX_POLLS_PER_SECOND = 1_000;

  /** Retry interval for a worker that has not reported or is unreachable, in ms. */
  private static final long SILENT_RETRY_MILLIS = 150;

  /** Maximum duration of a long poll, in ms; a lost response delays run ends by about this time. */
  private static final int HOLD_WAIT_MILLIS = 600;

  private WorkerPolling() {}

  /**
   * Returns the hold requests to send now and marks them as sent.
   *
   * @param inFlight identifiers of workers that already have a request in flight
   * @param isUnrecorded whether what follows from an end could not be stored
   */
  static List<HoldOrder> dueHolds(
      Collection<WorkerState> workers,
      Set<String> inFlight,
      Predicate<EndedTask> isUnrecorded,
      long nowMillis) {
    List<HoldOrder> due = new ArrayList<>();
    long intervalMillis = pollIntervalMillis(workers);
    for (WorkerState worker : workers) {
      if (!inFlight.contains(worker.facts.id())
          && isHoldDue(worker, intervalMillis, isUnrecorded, nowMillis)) {
        worker.holdSentMillis = nowMillis;
        due.add(holdOrder(worker, isUnrecorded, nowMillis));
      }
    }
    return due;
  }

  /** Returns the minimum interval between polls of a busy worker, in ms. */
  private static long pollIntervalMillis(Collection<WorkerState> workers) {
    long busy = workers.stream().filter(worker -> !worker.runs.isEmpty()).count();
    return Math.max(COALESCE_MILLIS, busy * 1_000 / MAX_POLLS_PER_SECOND);
  }

  private static boolean isHoldDue(
      WorkerState worker, long intervalMillis, Predicate<EndedTask> isUnrecorded, long nowMillis) {
    long sinceHoldSent = nowMillis - worker.holdSentMillis;
    if (!worker.isListed() && worker.canRunNothing()) {
      return false;
    }
    if (!worker.hasReported || !worker.isReachable) {
      return sinceHoldSent >= SILENT_RETRY_MILLIS;
    }
    long sinceReport = nowMillis - worker.lastReportMillis;
    if (worker.hasUnrecordedProcessedEnds()) {
      return sinceReport >= UNRECORDED_POLL_MILLIS;
    }
    long acknowledgeable = worker.acknowledgeableEnd(isUnrecorded);
    boolean isIdle = worker.runs.isEmpty() && acknowledgeable == 0 && !worker.hasUnlistedEnds;
    // A worker answers at once while it lists an end, so that a long poll does not slow polls down.
    long minimumMillis =
        worker.listsEndsAfter(acknowledgeable) ? UNRECORDED_POLL_MILLIS : intervalMillis;
    return !isIdle && sinceReport >= minimumMillis;
  }

  private static HoldOrder holdOrder(
      WorkerState worker, Predicate<EndedTask> isUnrecorded, long nowMillis) {
    boolean mayWait =
        worker.hasReported
            && worker.isReachable
            && !worker.hasUnrecordedEnds()
            && worker.runs.values().stream().allMatch(run -> run.phase == TaskRun.Phase.RUNNING);
    // The lease of an unreachable worker must expire before its tasks can start elsewhere.
    boolean mayExtend = worker.lease.isKnown() && worker.isReachable;
    long leaseUntilMillis = mayExtend ? worker.lease.grant(nowMillis) : 0;
    return new HoldOrder(
        worker.facts,
        leaseUntilMillis,
        worker.acknowledgeableEnd(isUnrecorded),
        mayWait ? HOLD_WAIT_MILLIS : 0);
  }
}
