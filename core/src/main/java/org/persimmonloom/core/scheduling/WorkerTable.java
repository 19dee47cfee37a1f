package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.workflow.Resources;

/**
 * Table of the workers with their runs, and with the run ends processed and recorded so far. Not
 * thread-safe.
 *
 * <p>See {@link FleetScheduler} for the rules by which a run counts as ended.
 */
final class WorkerTable {
  private final Map<String, WorkerState> byId = new HashMap<>();
  private final Map<String, List<WorkerState>> byService = new HashMap<>();

  /** Last known start times of all workers of this term, also of those that are gone. */
  private final Map<String, Long> bornMillis = new HashMap<>();

  private final RunEndHandler endHandler;
  private final OrderResultHandler orderResults;
  private final WorkerReportHandler reports;
  private final LeaseHolders leaseHolders = new LeaseHolders();
  private final long maxLeaseMillis;
  private final long earlierLeasesUntilMillis;
  private boolean isListKnown;

  /**
   * Creates the table of a new owner.
   *
   * @param earlierLeasesUntilMillis monotonic time at which the last lease of earlier owners is
   *     over
   */
  WorkerTable(long maxLeaseMillis, long earlierLeasesUntilMillis, OccurrenceTable occurrenceTable) {
    this.maxLeaseMillis = maxLeaseMillis;
    this.earlierLeasesUntilMillis = earlierLeasesUntilMillis;
    endHandler = new RunEndHandler(occurrenceTable);
    orderResults = new OrderResultHandler(endHandler, occurrenceTable);
    reports = new WorkerReportHandler(endHandler, occurrenceTable, maxLeaseMillis);
  }

  void setRunListener(RunListener listener) {
    endHandler.setListener(listener);
  }

  Collection<WorkerState> all() {
    return byId.values();
  }

  /** Returns the worker, or null if it is unknown. */
  WorkerState find(String id) {
    return byId.get(id);
  }

  /** Returns whether a worker was known in this term and is not in the published list now. */
  boolean hasLeftList(String id) {
    WorkerState worker = byId.get(id);
    return bornMillis.containsKey(id) && (worker == null || !worker.isPublished);
  }

  /** Returns whether a worker was in a published list of this term or recorded before it. */
  boolean isKnown(String id) {
    return bornMillis.containsKey(id);
  }

  /**
   * Returns whether a worker that the host list names may have replaced another one. If not, the
   * list is outdated: the worker is known to have started earlier, or it has never been published
   * while the other one still is.
   */
  boolean mayHaveReplaced(String named, String other) {
    WorkerState worker = byId.get(other);
    if (worker == null) {
      return true;
    }
    long born = bornMillis.getOrDefault(named, 0L);
    boolean isEarlier = born != 0 && born < worker.bornMillis;
    return !isEarlier && (isKnown(named) || !worker.isPublished);
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
    return ofService(service).stream().anyMatch(WorkerState::mayRunEarlierTasks);
  }

  /** Returns whether an unreported worker of any service may run tasks of an earlier owner. */
  boolean hasUnreportedWorker() {
    return byId.values().stream().anyMatch(WorkerState::mayRunEarlierTasks);
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
    return worker.mayRunEarlierTasks() && !worker.isReachable;
  }

  /** Returns whether the list of workers has been read. */
  boolean isListKnown() {
    return isListKnown;
  }

  /** See {@link FleetScheduler#leaseHoldersLoaded}. */
  void leaseHoldersLoaded(Collection<WorkerFacts> recorded) {
    leaseHolders.load(recorded);
    for (WorkerFacts facts : recorded) {
      WorkerState worker = new WorkerState(facts, maxLeaseMillis, true);
      worker.isRecorded = true;
      byId.put(facts.id(), worker);
      bornMillis.put(facts.id(), facts.bornMillis());
    }
    indexByService();
  }

  /** See {@link FleetScheduler#takeLeaseHolders}. */
  LeaseHolderBatch takeLeaseHolders() {
    return leaseHolders.take();
  }

  void leaseHoldersRecorded(LeaseHolderBatch batch) {
    leaseHolders.recorded(batch);
    updateRecorded();
  }

  void leaseHoldersRejected(Set<String> keys) {
    leaseHolders.rejected(keys);
    updateRecorded();
  }

  private void updateRecorded() {
    byId.values().forEach(worker -> worker.isRecorded = leaseHolders.isRecorded(worker.facts));
  }

  void workersListed(Collection<WorkerFacts> listed, long nowMillis) {
    boolean isFirstList = !isListKnown;
    isListKnown = true;
    Set<String> present = new HashSet<>();
    for (WorkerFacts facts : listed) {
      present.add(facts.id());
      bornMillis.put(facts.id(), facts.bornMillis());
      workerListed(facts, isFirstList, nowMillis);
    }
    for (WorkerState worker : byId.values()) {
      worker.isPublished = present.contains(worker.facts.id());
      wantRecord(worker);
      worker.isRecorded = leaseHolders.isRecorded(worker.facts);
    }
    indexByService();
    removeGoneWorkers();
  }

  /**
   * Lets a listed worker be recorded at its present address. While something may run there, or its
   * ends are not recorded, the record keeps the confirmed address, at which a later owner may rely
   * on the answer of another process.
   */
  private void wantRecord(WorkerState worker) {
    boolean isConfirmed = worker.facts.address().equals(worker.confirmedAddress);
    boolean isIdle = worker.canRunNothing() && !worker.hasUnrecordedEnds();
    if (worker.isListed() && (isConfirmed || isIdle)) {
      leaseHolders.add(worker.facts);
    }
  }

  private void workerListed(WorkerFacts facts, boolean isFirstList, long nowMillis) {
    WorkerState known = byId.get(facts.id());
    if (known == null) {
      // The first list also counts, since earlier versions recorded no workers.
      byId.put(facts.id(), new WorkerState(facts, maxLeaseMillis, isFirstList));
    } else {
      if (namesNewProcess(known, facts)) {
        known.expectNewProcess(nowMillis);
      }
      Resources used = known.facts.capacity().minus(known.free);
      known.facts = facts;
      known.free = facts.capacity().minus(used);
    }
  }

  /** Returns whether an entry names a process that neither the last entry nor a report names. */
  private static boolean namesNewProcess(WorkerState known, WorkerFacts facts) {
    return facts.bornMillis() != known.facts.bornMillis()
        && known.isOtherProcess(facts.bornMillis());
  }

  /**
   * Removes the workers that are not in the published list, on which nothing can run and whose ends
   * are recorded, so that no later owner waits for them.
   */
  private void removeGoneWorkers() {
    if (isListKnown && byId.values().removeIf(WorkerTable::isGone)) {
      indexByService();
      leaseHolders.retain(byId.keySet());
    }
  }

  private static boolean isGone(WorkerState worker) {
    return !worker.isPublished && worker.canRunNothing() && !worker.hasUnrecordedProcessedEnds();
  }

  private void indexByService() {
    byService.clear();
    for (WorkerState worker : byId.values()) {
      byService.computeIfAbsent(worker.facts.service(), key -> new ArrayList<>()).add(worker);
    }
  }

  private WorkerState findSameProcess(WorkerFacts facts) {
    WorkerState worker = byId.get(facts.id());
    boolean isSameProcess = worker != null && worker.facts.bornMillis() == facts.bornMillis();
    return isSameProcess ? worker : null;
  }

  void workerReported(WorkerFacts polled, long sentMillis, WorkerReport report, long nowMillis) {
    WorkerState worker = findSameProcess(polled);
    if (worker != null) {
      reports.apply(worker, polled.address(), sentMillis, report, nowMillis);
      wantRecord(worker);
    }
  }

  void holdFailed(WorkerFacts polled, CallResult result, long nowMillis) {
    WorkerState worker = findSameProcess(polled);
    if (worker == null) {
      return;
    }
    // The worker may run on elsewhere if it has never answered at this address.
    if (result == CallResult.GONE && polled.address().equals(worker.confirmedAddress)) {
      terminate(worker, RunRelease.ADDRESS_REUSED, nowMillis, nowMillis);
    }
    worker.isReachable = false;
  }

  /**
   * Handles a host list without the worker. Such a list may be wrong or outdated. It is proof that
   * nothing runs there only together with a failed call, both newer than the worker's last report;
   * until then the worker gets no new runs. A worker on which nothing can run needs no proof.
   *
   * @param listSentMillis when the list was requested
   */
  void workerTerminated(String id, long listSentMillis, long nowMillis) {
    WorkerState worker = byId.get(id);
    if (worker == null || worker.isTerminated || listSentMillis < worker.newProcessMillis) {
      return;
    }
    worker.missingFromHostsMillis = listSentMillis;
    if (worker.canRunNothing() && !worker.hasUnrecordedProcessedEnds()) {
      terminate(worker, RunRelease.HOST_WITHOUT_WORKER, listSentMillis, nowMillis);
      worker.isReachable = false;
    } else {
      terminateIfProven(worker, nowMillis);
    }
  }

  private void terminateIfProven(WorkerState worker, long nowMillis) {
    if (!worker.isTerminated && !worker.isReachable && worker.isMissingFromHosts()) {
      terminate(worker, RunRelease.HOST_WITHOUT_WORKER, worker.missingFromHostsMillis, nowMillis);
    }
  }

  /** Reinstates a worker that was taken for terminated but that the platform reports as alive. */
  void workerAlive(String id) {
    WorkerState worker = byId.get(id);
    if (worker == null) {
      return;
    }
    worker.missingFromHostsMillis = WorkerState.NEVER;
    if (worker.isTerminated) {
      worker.isTerminated = false;
      leaseHolders.add(worker.facts);
    }
  }

  private void terminate(
      WorkerState worker, RunRelease release, long evidenceMillis, long nowMillis) {
    dropRuns(worker, release, evidenceMillis, nowMillis);
    worker.isTerminated = true;
    worker.isRecorded = false;
    leaseHolders.remove(worker.facts.id());
  }

  /** Removes the runs of a worker whose process has ended; its tasks may start elsewhere. */
  private void dropRuns(
      WorkerState worker, RunRelease release, long evidenceMillis, long nowMillis) {
    for (TaskRun run : List.copyOf(worker.runs.values())) {
      endHandler.release(run, release, evidenceMillis, nowMillis);
    }
  }

  void expireLeases(long nowMillis) {
    boolean areEarlierLeasesOver = nowMillis >= earlierLeasesUntilMillis;
    for (WorkerState worker : byId.values()) {
      terminateIfProven(worker, nowMillis);
      boolean isLeaseOver = !worker.isReachable && worker.lease.isExpired(nowMillis);
      // This owner has extended the lease of a worker that has reported.
      if (areEarlierLeasesOver && (!worker.hasReported || isLeaseOver)) {
        worker.isFromPreviousTerm = false;
      }
      if (isLeaseOver && !worker.runs.isEmpty()) {
        dropRuns(worker, RunRelease.LEASE_EXPIRED, worker.lastReportMillis, nowMillis);
      }
    }
    removeGoneWorkers();
  }

  /** Returns whether a start should still be sent; removes its run if not. */
  boolean isStartStillValid(Order order, long nowMillis) {
    TaskRun run = unsentRun(order);
    boolean isValid =
        run != null
            && run.isNeeded()
            && run.worker.isReachable
            && nowMillis - run.lastOrderMillis < maxLeaseMillis;
    if (!isValid) {
      withdraw(order, nowMillis);
    }
    return isValid;
  }

  /** Removes the run of a start that is not sent; a stop that is not sent may be repeated. */
  void withdraw(Order order, long nowMillis) {
    TaskRun run = run(order);
    if (run != null && order instanceof Order.Stop) {
      run.isStopPending = false;
    }
    TaskRun unsent = order instanceof Order.Start ? unsentRun(order) : null;
    if (unsent != null) {
      endHandler.release(unsent, RunRelease.NOT_SENT, nowMillis, nowMillis);
    }
  }

  /** Returns the run of a start that is not answered yet; null if there is none. */
  private TaskRun unsentRun(Order order) {
    TaskRun run = run(order);
    return run != null && run.phase == TaskRun.Phase.STARTING ? run : null;
  }

  /**
   * Returns the run that an order is about; null if it is over. The run number is enough, since
   * numbers are not reused.
   */
  TaskRun run(Order order) {
    WorkerState worker = byId.get(order.worker().id());
    TaskRun run = worker == null ? null : worker.runs.get(order.task());
    return run != null && run.number == order.run() ? run : null;
  }

  void orderAnswered(Order order, CallResult result, long nowMillis) {
    if (result == CallResult.GONE) {
      holdFailed(order.worker(), result, nowMillis);
    }
    TaskRun run = run(order);
    if (run != null) {
      orderResults.orderAnswered(order, run, result, nowMillis);
    }
  }

  List<ProgressBatch.EndMark> takeEndMarks() {
    return RunEndMarks.take(byId.values());
  }

  void endsRecorded(List<ProgressBatch.EndMark> marks) {
    RunEndMarks.recorded(marks, byId);
  }
}
