package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowEntry;

/**
 * Decides which tasks run on which workers, on behalf of the current fleet owner.
 *
 * <p>The workers are the authority on what runs. A new owner polls every worker under its own
 * fence, adopts the reported runs, and starts no task that a worker without a report might still
 * run. If a start order gets no response, the run is stopped before its task starts elsewhere; the
 * stop also prevents a delayed start from taking effect. An unreachable worker is assumed to keep
 * its runs until their lease has expired on the slowest clock that the protocol allows. Run ends
 * are acknowledged to workers only after they are recorded in the log. Not thread-safe.
 */
public final class FleetScheduler {
  private final OccurrenceTable occurrenceTable = new OccurrenceTable();
  private final FillerPacing pacing = new FillerPacing(occurrenceTable);
  private final PermitCache permits = new PermitCache(occurrenceTable);
  private final WorkerTable workers;
  private final NotStartedReport notStarted;
  private final MachineScheduler machines;
  private RunListener runListener = RunListener.NONE;

  /** Occurrences that may start tasks, most urgent first. */
  private final List<OccurrenceState> startable = new ArrayList<>();

  private final UnrecordedProgress unrecorded = new UnrecordedProgress();
  private final long takeoverOffset;
  private Set<String> runningServices = Set.of();

  /** Starts that the current decision may still order. */
  private int startsLeft;

  /**
   * Creates the scheduler of a new owner.
   *
   * @param settings time limits
   * @param takeoverOffset end offset of the workflow log when this owner gained ownership
   * @param nowMillis current time on the monotonic clock
   * @param machinesFromMillis monotonic time before which no orders about hosts are given
   */
  public FleetScheduler(
      SchedulingSettings settings, long takeoverOffset, long nowMillis, long machinesFromMillis) {
    this.takeoverOffset = takeoverOffset;
    workers =
        new WorkerTable(
            settings.maxLeaseMillis(), nowMillis + settings.takeoverBlockMillis(), occurrenceTable);
    notStarted = new NotStartedReport(occurrenceTable, workers, permits);
    machines =
        new MachineScheduler(
            workers, occurrenceTable, settings.earlierStopMillis(), machinesFromMillis);
  }

  /**
   * Applies a configuration.
   *
   * @param queues queues by name
   * @param services services whose pools are running
   * @param spareServices services whose pools hold switched-off hosts
   * @param rerouted queues that may have had other services under earlier owners
   */
  public void configure(
      Map<String, QueuePolicy> queues,
      Set<String> services,
      Set<String> spareServices,
      Set<String> rerouted) {
    occurrenceTable.configure(queues, rerouted);
    runningServices = Set.copyOf(services);
    machines.configure(services, spareServices);
  }

  /** Sets the receiver of decisions and conclusions about runs. */
  public void setRunListener(RunListener listener) {
    runListener = listener;
    workers.setRunListener(listener);
  }

  /** Returns the scheduler of worker hosts. */
  public MachineScheduler machines() {
    return machines;
  }

  /**
   * Applies a change of a workflow.
   *
   * @param isBacklog whether the change was recorded before this owner's term; the age of such a
   *     workflow is taken from its acceptance time
   */
  public void workflowChanged(
      WorkflowEntry entry, long nowMillis, long wallMillis, boolean isBacklog) {
    occurrenceTable.workflowChanged(entry, nowMillis, wallMillis, isBacklog);
  }

  /** Applies the workers that earlier owners recorded; called before the first list. */
  public void leaseHoldersLoaded(Collection<WorkerFacts> recorded) {
    workers.leaseHoldersLoaded(recorded);
  }

  /**
   * Returns the unrecorded changes of the workers that may hold leases, and marks them as taken.
   * Workers get no start orders before they are recorded.
   */
  public LeaseHolderBatch takeLeaseHolders() {
    return workers.takeLeaseHolders();
  }

  /** Marks a batch as durable. */
  public void leaseHoldersRecorded(LeaseHolderBatch batch) {
    workers.leaseHoldersRecorded(batch);
  }

  /** Notes that records of the last batch can't be stored; their workers get no start orders. */
  public void leaseHoldersRejected(Set<String> keys) {
    workers.leaseHoldersRejected(keys);
  }

  /** Applies the published list of workers. */
  public void workersListed(Collection<WorkerFacts> listed, long nowMillis) {
    workers.workersListed(listed, nowMillis);
  }

  /** Applies a worker's status report; {@code sentMillis} is when the request was sent. */
  public void workerReported(
      WorkerFacts polled, long sentMillis, WorkerReport report, long nowMillis) {
    workers.workerReported(polled, sentMillis, report, nowMillis);
  }

  /**
   * Applies the failure of a hold request: the worker did not respond, or another process responds
   * at its address.
   */
  public void holdFailed(WorkerFacts polled, CallResult result, long nowMillis) {
    workers.holdFailed(polled, result, nowMillis);
    if (workers.isSilentFromPreviousTerm(polled)) {
      machines.workerUnreachable(polled.id(), nowMillis);
    }
  }

  /**
   * Returns the hold requests to send now and marks them as sent.
   *
   * @param inFlight identifiers of workers that already have a request in flight
   */
  public List<HoldOrder> dueHolds(Set<String> inFlight, long nowMillis) {
    return WorkerPolling.dueHolds(workers.all(), inFlight, unrecorded::contains, nowMillis);
  }

  /**
   * Returns whether a queued order should still be sent. A start is withdrawn, and its run removed,
   * if the task has since ended or runs elsewhere, if its worker has become unreachable, or if the
   * lease in the order has expired. Other orders are obsolete once their run is over.
   */
  public boolean isStillValid(Order order, long nowMillis) {
    return order instanceof Order.Start
        ? workers.isStartStillValid(order, nowMillis)
        : workers.run(order) != null;
  }

  /** Withdraws a queued order that this owner may not send any more. */
  public void withdraw(Order order, long nowMillis) {
    workers.withdraw(order, nowMillis);
  }

  /** Applies the result of an order. */
  public void orderAnswered(Order order, CallResult result, long nowMillis) {
    if (result == CallResult.PERMISSION_EXPIRED) {
      TaskId task = order.task();
      StepId step = new StepId(task.workflow(), task.occurrence(), task.step());
      permits.permitRejected(step, order.worker().id());
    }
    workers.orderAnswered(order, result, nowMillis);
  }

  /** Returns the request to send to the placement policy service now, if any. */
  public Optional<PermitRequest> nextPermitRequest(long nowMillis) {
    return permits.nextRequest(startable, workers, nowMillis);
  }

  /**
   * Applies the response of the placement policy service.
   *
   * @param granted permits by worker; empty if the request failed
   */
  public void permitsAnswered(
      PermitRequest request,
      Optional<Map<String, String>> granted,
      long sentMillis,
      long nowMillis) {
    permits.permitsAnswered(request, granted, sentMillis, nowMillis);
  }

  /**
   * Returns unrecorded changes, of which each is returned only once. Run ends are part of a batch
   * only if it contains all changes, since they must not be acknowledged before what follows from
   * them is recorded.
   */
  public ProgressBatch takeProgress(long wallMillis) {
    List<TableRecord> records = occurrenceTable.takeRecords(wallMillis);
    List<ProgressBatch.EndMark> ends =
        occurrenceTable.hasUntakenChanges() ? List.of() : workers.takeEndMarks();
    return new ProgressBatch(records, ends);
  }

  /** Marks a batch as durable, so that its run ends may be acknowledged to workers. */
  public void progressRecorded(ProgressBatch batch) {
    unrecorded.recorded(batch.records());
    workers.endsRecorded(batch.ends());
  }

  /** Notes that records of the last batch can't be stored; see {@link UnrecordedProgress}. */
  public void progressRejected(Set<String> keys) {
    unrecorded.rejected(keys);
  }

  /** Returns the orders to send now, without a limit of starts. */
  public List<Order> decide(long nowMillis, long wallMillis) {
    return decide(nowMillis, wallMillis, Integer.MAX_VALUE);
  }

  /**
   * Returns the orders to send now.
   *
   * <p>For a backlog that appears at once, such as that of a new owner in a burst: tasks beyond the
   * limit stay waiting. A start that waits to be sent would hold the room of its worker meanwhile,
   * and would go before more urgent tasks that arrive later.
   *
   * @param nowMillis current time on the monotonic clock
   * @param wallMillis current Unix time, for scheduled occurrences
   * @param maxStarts maximum number of starts; a gang is started as a whole and may exceed it
   */
  public List<Order> decide(long nowMillis, long wallMillis, int maxStarts) {
    startsLeft = maxStarts;
    List<Order> orders = new ArrayList<>();
    workers.expireLeases(nowMillis);
    RunStops.add(workers.all(), orders, nowMillis);
    for (WorkerState worker : workers.all()) {
      pacing.decide(worker, orders, nowMillis);
    }
    startable.clear();
    ExhaustedCapacity exhausted = new ExhaustedCapacity(workers, nowMillis);
    List<OccurrenceState> waiting = waitingOccurrences(exhausted, wallMillis);
    for (OccurrenceState occurrence : OccurrencePriority.sorted(waiting, nowMillis)) {
      place(occurrence, exhausted, orders, nowMillis);
    }
    return orders;
  }

  /** Returns the occurrences whose tasks may start or need permits. */
  private List<OccurrenceState> waitingOccurrences(ExhaustedCapacity exhausted, long wallMillis) {
    List<OccurrenceState> waiting = new ArrayList<>();
    occurrenceTable.forEachDue(
        wallMillis,
        occurrence -> {
          QueuePolicy policy = occurrence.policy;
          // Host scheduling may free capacity before the next permit request is chosen.
          if (occurrence.isWaiting()
              && (policy.permitValidMillis() > 0
                  || !exhausted.isExhaustedForAll(policy.service(), occurrence))) {
            waiting.add(occurrence);
          }
        });
    return waiting;
  }

  /** Returns counts of workers, usable workers, runs and waiting tasks per service, for logs. */
  public String outline(long nowMillis) {
    return PoolOutline.of(runningServices, workers, occurrenceTable, nowMillis);
  }

  /**
   * Returns the reasons why tasks of ready steps do not run, for logs; empty if all of them run.
   */
  public String outlineNotStarted(long nowMillis, long wallMillis) {
    return notStarted.outline(runningServices, this::isBlocked, nowMillis, wallMillis);
  }

  private void place(
      OccurrenceState occurrence, ExhaustedCapacity exhausted, List<Order> orders, long nowMillis) {
    String service = occurrence.policy.service();
    if (!runningServices.contains(service) || isBlocked(occurrence, service)) {
      return;
    }
    startable.add(occurrence);
    List<WorkerState> pool = workers.ofService(service);
    for (int step = 0; step < occurrence.remaining.length; step++) {
      if (!occurrence.isWaiting(step) || exhausted.isExhausted(service, occurrence.step(step))) {
        continue;
      }
      List<WorkerState> permitted = permits.permitted(occurrence, step, pool, nowMillis);
      if (occurrence.step(step).gang()) {
        placeGang(occurrence, step, permitted, orders, nowMillis);
      } else if (!placeTasks(occurrence, step, permitted, orders, nowMillis)
          && permitted.size() == pool.size()) {
        exhausted.add(service, occurrence.step(step));
      }
    }
  }

  /**
   * Returns whether a worker that has not reported yet may still run tasks of the occurrence, which
   * an earlier owner started. Those may be workers of services that the queue does not have now.
   */
  private boolean isBlocked(OccurrenceState occurrence, String service) {
    if (occurrence.submittedOffset >= takeoverOffset) {
      return false;
    }
    return occurrence.mayHaveRunElsewhere()
        ? workers.hasUnreportedWorker()
        : workers.hasUnreportedWorker(service);
  }

  /** Starts the waiting tasks of a step; returns false if no worker can take one of them. */
  private boolean placeTasks(
      OccurrenceState occurrence,
      int step,
      List<WorkerState> pool,
      List<Order> orders,
      long nowMillis) {
    for (TaskState task : occurrence.tasksOf(step)) {
      if (!task.isRunnable()) {
        continue;
      }
      if (startsLeft <= 0) {
        return true;
      }
      WorkerState worker = Placement.choose(pool, occurrence, task, nowMillis);
      if (worker == null) {
        return false;
      }
      start(occurrence, task, task.lastRun + 1, worker, orders, nowMillis);
    }
    return true;
  }

  private void placeGang(
      OccurrenceState occurrence,
      int step,
      List<WorkerState> pool,
      List<Order> orders,
      long nowMillis) {
    if (startsLeft <= 0) {
      return;
    }
    List<TaskState> members = occurrence.tasksOf(step);
    int run = 0;
    for (TaskState task : members) {
      if (!task.isRunnable()) {
        return;
      }
      run = Math.max(run, task.lastRun);
    }
    Map<TaskState, WorkerState> chosen =
        Placement.chooseForGang(pool, occurrence, members, nowMillis);
    if (chosen == null) {
      return;
    }
    occurrence.shareNewestCheckpoint(step);
    for (TaskState task : members) {
      start(occurrence, task, run + 1, chosen.get(task), orders, nowMillis);
    }
  }

  private void start(
      OccurrenceState occurrence,
      TaskState task,
      int run,
      WorkerState worker,
      List<Order> orders,
      long nowMillis) {
    TaskId id = occurrence.taskId(task);
    TaskRun started = new TaskRun(id, run, worker, occurrence, nowMillis);
    startsLeft--;
    task.lastRun = run;
    occurrence.addRun(task, started);
    worker.add(started);
    Order.Start order =
        new Order.Start(
            worker.facts,
            id,
            run,
            occurrence.spec.payload(),
            worker.lease.grant(nowMillis),
            task.checkpoint,
            permits.permit(occurrence, task.step, worker, nowMillis));
    orders.add(order);
    runListener.runOrdered(order, occurrence.submittedOffset, task.lastReleased());
    // Records the number of the run, which no later owner may use again.
    occurrenceTable.markDirty(occurrence);
  }
}
