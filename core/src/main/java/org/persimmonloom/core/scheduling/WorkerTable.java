package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/**
 * Table of the workers with their runs, and with the run ends processed and recorded so far. Not
 * thread-safe.
 *
 * <p>See {@link FleetScheduler} for the rules by which a run counts as ended.
 */
final class WorkerTable {
  /** Minimum interval between polls of a worker with unrecorded run ends, in ms. */
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

  private final Map<String, WorkerState> byId = new HashMap<>();
  private final Map<String, List<WorkerState>> byService = new HashMap<>();
  private final RunEndHandler endHandler;
  private final OrderResultHandler orderResults;
  private final OccurrenceTable occurrenceTable;
  private final long maxLeaseMillis;
  private boolean isListKnown;

  WorkerTable(long maxLeaseMillis, OccurrenceTable occurrenceTable) {
    this.maxLeaseMillis = maxLeaseMillis;
    this.occurrenceTable = occurrenceTable;
    endHandler = new RunEndHandler(occurrenceTable);
    orderResults = new OrderResultHandler(endHandler);
  }

  Collection<WorkerState> all() {
    return byId.values();
  }

  /** Returns the worker, or null if it is unknown. */
  WorkerState find(String id) {
    return byId.get(id);
  }

  /** Returns the number of runs of a worker; 0 if it is unknown. */
  int runCount(String id) {
    WorkerState worker = byId.get(id);
    return worker == null ? 0 : worker.runs.size();
  }

  /** Prevents new runs on a worker, or allows them again; has no effect if it is unknown. */
  void cordon(String id, boolean isCordoned) {
    WorkerState worker = byId.get(id);
    if (worker != null) {
      worker.isCordoned = isCordoned;
    }
  }

  List<WorkerState> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns whether an unreported worker of the service may run tasks of an earlier owner. */
  boolean hasUnreportedWorker(String service) {
    return ofService(service).stream().anyMatch(WorkerTable::mayRunTasksOfEarlierOwner);
  }

  private static boolean mayRunTasksOfEarlierOwner(WorkerState worker) {
    return worker.isFromPreviousTerm && !worker.hasReported && !worker.isTerminated;
  }

  /** Returns the unreachable workers that may run tasks of an earlier owner. */
  List<String> silentFromPreviousTerm() {
    return byId.values().stream()
        .filter(WorkerTable::isSilentFromPreviousTerm)
        .map(worker -> worker.facts.id())
        .toList();
  }

  /** Returns whether a worker is unreachable and may run tasks of an earlier owner. */
  boolean isSilentFromPreviousTerm(WorkerFacts facts) {
    WorkerState worker = findSameProcess(facts);
    return worker != null && isSilentFromPreviousTerm(worker);
  }

  private static boolean isSilentFromPreviousTerm(WorkerState worker) {
    return mayRunTasksOfEarlierOwner(worker) && !worker.isReachable;
  }

  /** Returns whether the list of workers has been read. */
  boolean isListKnown() {
    return isListKnown;
  }

  void workersListed(Collection<WorkerFacts> listed, long nowMillis) {
    boolean isFirstList = !isListKnown;
    isListKnown = true;
    Set<String> present = new HashSet<>();
    for (WorkerFacts facts : listed) {
      present.add(facts.id());
      WorkerState known = byId.get(facts.id());
      if (known == null) {
        byId.put(facts.id(), new WorkerState(facts, maxLeaseMillis, isFirstList));
      } else if (hasRestarted(known, facts.bornMillis())) {
        dropRuns(known);
        byId.put(facts.id(), new WorkerState(facts, maxLeaseMillis, false));
      } else {
        Resources used = known.facts.capacity().minus(known.free);
        known.facts = facts;
        known.free = facts.capacity().minus(used);
        known.isListed = !known.isTerminated;
      }
    }
    for (WorkerState worker : List.copyOf(byId.values())) {
      if (!present.contains(worker.facts.id())) {
        worker.isListed = false;
        if (worker.runs.isEmpty()) {
          byId.remove(worker.facts.id());
        }
      }
    }
    byService.clear();
    for (WorkerState worker : byId.values()) {
      byService.computeIfAbsent(worker.facts.service(), key -> new ArrayList<>()).add(worker);
    }
  }

  private static boolean hasRestarted(WorkerState known, long bornMillis) {
    return bornMillis != 0 && known.bornMillis != 0 && bornMillis > known.bornMillis;
  }

  private WorkerState findSameProcess(WorkerFacts facts) {
    WorkerState worker = byId.get(facts.id());
    boolean isSameProcess = worker != null && worker.facts.bornMillis() == facts.bornMillis();
    return isSameProcess ? worker : null;
  }

  void workerReported(WorkerFacts polled, long sentMillis, WorkerReport report, long nowMillis) {
    WorkerState worker = findSameProcess(polled);
    if (worker == null) {
      return;
    }
    if (hasRestarted(worker, report.bornMillis())) {
      dropRuns(worker);
      worker.lease = new LeaseClock(maxLeaseMillis);
      worker.processedEnd = 0;
      worker.batchedEnd = 0;
      worker.recordedEnd = 0;
      worker.acknowledgedEnd = 0;
    }
    if (report.bornMillis() != 0) {
      worker.bornMillis = report.bornMillis();
    }
    worker.lease.observe(report.clockMillis(), nowMillis);
    worker.lastReportMillis = nowMillis;
    worker.lastReportSentMillis = sentMillis;
    if (!worker.hasReported) {
      worker.hasReported = true;
      worker.firstReportMillis = nowMillis;
    }
    worker.isReachable = true;
    for (EndedTask ended : report.ended()) {
      if (ended.number() > worker.processedEnd) {
        worker.processedEnd = ended.number();
        endHandler.runEnded(worker, ended, nowMillis);
      }
    }
    updateRuns(worker, sentMillis, report, nowMillis);
  }

  private void updateRuns(
      WorkerState worker, long sentMillis, WorkerReport report, long nowMillis) {
    Set<TaskId> present = new HashSet<>();
    for (RunningTask running : report.running()) {
      present.add(running.task());
      TaskRun run = worker.runs.get(running.task());
      if (run == null || run.number != running.run()) {
        run = adopt(worker, running, nowMillis);
      }
      run.speedPercent = running.percent();
      run.load = running.load();
      run.checkpoint = running.checkpoint();
      if (run.phase == TaskRun.Phase.STARTING) {
        run.phase = TaskRun.Phase.RUNNING;
        run.orderAnsweredMillis = nowMillis;
        run.isUnanswered = false;
      }
      TaskState task = occurrenceTable.task(running.task());
      if (task != null && !running.checkpoint().isEmpty()) {
        task.checkpoint = running.checkpoint();
      }
    }
    for (TaskRun run : List.copyOf(worker.runs.values())) {
      if (!present.contains(run.task) && sentMillis > run.orderAnsweredMillis) {
        endHandler.removeRun(run);
      }
    }
  }

  private TaskRun adopt(WorkerState worker, RunningTask running, long nowMillis) {
    TaskRun previous = worker.runs.get(running.task());
    if (previous != null) {
      endHandler.removeRun(previous);
    }
    OccurrenceState occurrence = occurrenceTable.occurrence(running.task());
    TaskState task = occurrence == null ? null : occurrence.task(running.task());
    TaskRun run = new TaskRun(running.task(), running.run(), worker, occurrence, nowMillis);
    run.phase = TaskRun.Phase.RUNNING;
    run.orderAnsweredMillis = nowMillis;
    worker.add(run);
    if (task != null) {
      task.lastRun = Math.max(task.lastRun, running.run());
      if (task.isRunnable() || occurrence.step(task.step).speculative()) {
        occurrence.addRun(task, run);
      }
    }
    return run;
  }

  void holdFailed(WorkerFacts polled, CallResult result) {
    WorkerState worker = findSameProcess(polled);
    if (worker == null) {
      return;
    }
    if (result == CallResult.GONE) {
      terminate(worker);
    }
    worker.isReachable = false;
  }

  /** Handles the termination of a worker by the platform: none of its runs exist any more. */
  void workerTerminated(String id) {
    WorkerState worker = byId.get(id);
    if (worker != null) {
      terminate(worker);
      worker.isReachable = false;
    }
  }

  /** Reinstates a worker that was taken for terminated but that the platform reports as alive. */
  void workerAlive(String id) {
    WorkerState worker = byId.get(id);
    if (worker != null && worker.isTerminated) {
      worker.isTerminated = false;
      worker.isListed = true;
    }
  }

  private void terminate(WorkerState worker) {
    dropRuns(worker);
    worker.isListed = false;
    worker.isTerminated = true;
  }

  /** Removes the runs of a worker whose process has ended; its tasks may start elsewhere. */
  private void dropRuns(WorkerState worker) {
    for (TaskRun run : List.copyOf(worker.runs.values())) {
      endHandler.removeRun(run);
    }
  }

  void expireLeases(long nowMillis) {
    for (WorkerState worker : byId.values()) {
      if (!worker.isReachable && !worker.runs.isEmpty() && worker.lease.isExpired(nowMillis)) {
        dropRuns(worker);
      }
    }
  }

  List<HoldOrder> dueHolds(Set<String> inFlight, long nowMillis) {
    List<HoldOrder> due = new ArrayList<>();
    long intervalMillis = pollIntervalMillis();
    for (WorkerState worker : byId.values()) {
      if (!inFlight.contains(worker.facts.id()) && isHoldDue(worker, intervalMillis, nowMillis)) {
        worker.holdSentMillis = nowMillis;
        due.add(holdOrder(worker, nowMillis));
      }
    }
    return due;
  }

  /** Returns the minimum interval between polls of a busy worker, in ms. */
  private long pollIntervalMillis() {
    long busy = byId.values().stream().filter(worker -> !worker.runs.isEmpty()).count();
    return Math.max(COALESCE_MILLIS, busy * 1_000 / MAX_POLLS_PER_SECOND);
  }

  private boolean isHoldDue(WorkerState worker, long intervalMillis, long nowMillis) {
    long sinceHoldSent = nowMillis - worker.holdSentMillis;
    if (!worker.isListed && worker.runs.isEmpty()) {
      return false;
    }
    if (!worker.hasReported || !worker.isReachable) {
      return sinceHoldSent >= SILENT_RETRY_MILLIS;
    }
    long sinceReport = nowMillis - worker.lastReportMillis;
    if (worker.hasUnrecordedEnds()) {
      return sinceReport >= UNRECORDED_POLL_MILLIS;
    }
    boolean isIdle = worker.runs.isEmpty() && worker.recordedEnd == worker.acknowledgedEnd;
    return !isIdle && sinceReport >= intervalMillis;
  }

  private HoldOrder holdOrder(WorkerState worker, long nowMillis) {
    boolean mayWait =
        worker.hasReported
            && worker.isReachable
            && !worker.hasUnrecordedEnds()
            && worker.runs.values().stream().allMatch(run -> run.phase == TaskRun.Phase.RUNNING);
    // The lease of an unreachable worker must expire before its tasks can start elsewhere.
    boolean mayExtend = worker.lease.isKnown() && worker.isReachable;
    long leaseUntilMillis = mayExtend ? worker.lease.grant(nowMillis) : 0;
    worker.acknowledgedEnd = worker.recordedEnd;
    return new HoldOrder(
        worker.facts, leaseUntilMillis, worker.recordedEnd, mayWait ? HOLD_WAIT_MILLIS : 0);
  }

  /** Returns whether a start should still be sent; removes its run if not. */
  boolean isStartStillValid(Order order, long nowMillis) {
    TaskRun run = unsentRun(order);
    boolean isValid =
        run != null && run.isNeeded() && nowMillis - run.lastOrderMillis < maxLeaseMillis;
    if (!isValid) {
      withdraw(order);
    }
    return isValid;
  }

  /** Removes the run of a start that is not sent. */
  void withdraw(Order order) {
    TaskRun run = unsentRun(order);
    if (run != null) {
      endHandler.removeRun(run);
    }
  }

  /** Returns the run of a start that is not answered yet; null if there is none. */
  private TaskRun unsentRun(Order order) {
    WorkerState worker = byId.get(order.worker().id());
    TaskRun run = worker == null ? null : worker.runs.get(order.task());
    boolean isUnsent =
        run != null && run.number == order.run() && run.phase == TaskRun.Phase.STARTING;
    return isUnsent ? run : null;
  }

  void orderAnswered(Order order, CallResult result, long nowMillis) {
    if (result == CallResult.GONE) {
      holdFailed(order.worker(), result);
      return;
    }
    // The run number identifies the process: a restart drops all runs, and numbers are not reused.
    WorkerState worker = byId.get(order.worker().id());
    if (worker == null) {
      return;
    }
    TaskRun run = worker.runs.get(order.task());
    if (run == null || run.number != order.run()) {
      return;
    }
    orderResults.orderAnswered(order, run, result, nowMillis);
  }

  List<ProgressBatch.EndMark> takeEndMarks() {
    List<ProgressBatch.EndMark> marks = new ArrayList<>();
    for (WorkerState worker : byId.values()) {
      if (worker.processedEnd > worker.batchedEnd) {
        worker.batchedEnd = worker.processedEnd;
        marks.add(
            new ProgressBatch.EndMark(worker.facts.id(), worker.bornMillis, worker.processedEnd));
      }
    }
    return marks;
  }

  void endsRecorded(List<ProgressBatch.EndMark> marks) {
    for (ProgressBatch.EndMark mark : marks) {
      WorkerState worker = byId.get(mark.worker());
      if (worker != null && worker.bornMillis == mark.bornMillis()) {
        worker.recordedEnd = Math.max(worker.recordedEnd, mark.number());
      }
    }
  }
}
