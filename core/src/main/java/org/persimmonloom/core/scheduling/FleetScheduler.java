package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowState;

/**
 * Decides which task runs where, for the present owner of the fleet.
 *
 * <p>Workers are the record of what runs. A new owner first asks every worker under its own fence,
 * adopts what runs there, and starts nothing that an unheard worker might still run. A run whose
 * start was not answered is stopped, which also keeps a delayed order from taking effect, before
 * its task starts elsewhere. A worker that does not answer keeps its runs until their lease has
 * expired on the slowest clock the protocol allows. Ends are acknowledged to workers only after
 * they are recorded in the log. Not thread-safe.
 */
public final class FleetScheduler {
  private static final long STOP_RETRY_MILLIS = 300;

  /** An unanswered start that the worker does not list after this time is stopped. */
  private static final long UNANSWERED_START_TIMEOUT_MILLIS = 400;

  private final OccurrenceTable occurrenceTable = new OccurrenceTable();
  private final FillerPacing pacing = new FillerPacing(occurrenceTable);
  private final PermitCache permits = new PermitCache(occurrenceTable);
  private final WorkerTable workers;
  private final NotStartedReport notStarted;
  private final MachineScheduler machines;

  /** Occurrences that may start tasks, the most urgent first. */
  private final List<OccurrenceState> startable = new ArrayList<>();

  private final long takeoverOffset;
  private final long blockedUntilMillis;
  private Set<String> runningServices = Set.of();

  /**
   * Creates the scheduler of a new owner.
   *
   * @param settings limits
   * @param takeoverOffset end of the workflow log when the ownership was won
   * @param nowMillis present time on the steady clock
   * @param machinesFromMillis steady time from which orders about hosts may be given
   */
  public FleetScheduler(
      SchedulingSettings settings, long takeoverOffset, long nowMillis, long machinesFromMillis) {
    this.takeoverOffset = takeoverOffset;
    blockedUntilMillis = nowMillis + settings.takeoverBlockMillis();
    workers = new WorkerTable(settings.maxLeaseMillis(), occurrenceTable);
    notStarted = new NotStartedReport(occurrenceTable, workers, permits);
    machines =
        new MachineScheduler(
            workers, occurrenceTable, settings.earlierStopMillis(), machinesFromMillis);
  }

  /**
   * Takes over a configuration.
   *
   * @param queues queues by name
   * @param services services whose workers run
   * @param spareServices services whose workers are switched off
   */
  public void configure(
      Map<String, QueuePolicy> queues, Set<String> services, Set<String> spareServices) {
    occurrenceTable.configure(queues);
    runningServices = Set.copyOf(services);
    machines.configure(services, spareServices);
  }

  /** Returns the part that decides about hosts. */
  public MachineScheduler machines() {
    return machines;
  }

  /** Takes over a change of a workflow. */
  public void workflowChanged(
      WorkflowEntry entry, long nowMillis, long wallMillis, boolean isBacklog) {
    occurrenceTable.workflowChanged(entry, nowMillis, wallMillis, isBacklog);
  }

  /** Takes over the published list of workers. */
  public void workersListed(Collection<WorkerFacts> listed, long nowMillis) {
    workers.workersListed(listed, nowMillis);
  }

  /** Takes over a worker's lists; {@code sentMillis} is when they were polled for. */
  public void workerReported(
      WorkerFacts polled, long sentMillis, WorkerReport report, long nowMillis) {
    workers.workerReported(polled, sentMillis, report, nowMillis);
  }

  /** Notes that a worker did not answer, or that another process answers at its address. */
  public void holdFailed(WorkerFacts polled, CallResult result) {
    workers.holdFailed(polled, result);
    if (workers.isSilentFromPreviousTerm(polled)) {
      machines.workerUnreachable(polled.id());
    }
  }

  /** Returns the requests for lists that are due, one for each worker that has none in flight. */
  public List<HoldOrder> dueHolds(Set<String> inFlight, long nowMillis) {
    return workers.dueHolds(inFlight, nowMillis);
  }

  /**
   * Returns whether an order that was decided earlier is still to be sent. A start is taken back if
   * its task has ended or runs elsewhere by now, or if the lease that it carries is over.
   */
  public boolean isStillValid(Order order, long nowMillis) {
    return !(order instanceof Order.Start) || workers.isStartStillValid(order, nowMillis);
  }

  /** Takes over the answer to an order. */
  public void orderAnswered(Order order, CallResult result, long nowMillis) {
    if (result == CallResult.PERMISSION_EXPIRED) {
      TaskId task = order.task();
      StepId step = new StepId(task.workflow(), task.occurrence(), task.step());
      permits.permitRejected(step, order.worker().id());
    }
    workers.orderAnswered(order, result, nowMillis);
  }

  /** Returns the request to the placement policy service to send now, if there is one. */
  public Optional<PermitRequest> nextPermitRequest(long nowMillis) {
    return permits.nextRequest(startable, workers, nowMillis);
  }

  /**
   * Takes over the answer of the placement policy service.
   *
   * @param granted permits by worker; empty if the service did not answer
   */
  public void permitsAnswered(
      PermitRequest request,
      Optional<Map<String, String>> granted,
      long sentMillis,
      long nowMillis) {
    permits.permitsAnswered(request, granted, sentMillis, nowMillis);
  }

  /** Returns unrecorded changes, which count as handed over. */
  public ProgressBatch takeProgress(long wallMillis) {
    return new ProgressBatch(occurrenceTable.takeRecords(wallMillis), workers.takeEndMarks());
  }

  /** Notes that the records of a batch are durable. */
  public void progressRecorded(ProgressBatch batch) {
    workers.endsRecorded(batch.ends());
  }

  /**
   * Returns the orders to send now.
   *
   * @param nowMillis present time on the steady clock
   * @param wallMillis present Unix time, for scheduled occurrences
   */
  public List<Order> decide(long nowMillis, long wallMillis) {
    List<Order> orders = new ArrayList<>();
    workers.expireLeases(nowMillis);
    stopUnneededRuns(orders, nowMillis);
    for (WorkerState worker : workers.all()) {
      pacing.decide(worker, orders, nowMillis);
    }
    startable.clear();
    ExhaustedCapacity exhausted = new ExhaustedCapacity(workers, nowMillis);
    List<OccurrenceState> waiting = waiting(exhausted);
    for (OccurrenceState occurrence : OccurrencePriority.sorted(waiting, nowMillis)) {
      place(occurrence, exhausted, orders, nowMillis, wallMillis);
    }
    return orders;
  }

  /** Returns the occurrences for which tasks may start or permits be polled. */
  private List<OccurrenceState> waiting(ExhaustedCapacity exhausted) {
    List<OccurrenceState> waiting = new ArrayList<>();
    for (List<OccurrenceState> occurrences : occurrenceTable.byWorkflow()) {
      for (OccurrenceState occurrence : occurrences) {
        if (occurrence.isWaiting()) {
          QueuePolicy policy = occurrence.policy;
          // Decisions about hosts may give room back before a permit is polled for.
          if (policy.permitValidMillis() > 0
              || !exhausted.isExhaustedForAll(policy.service(), occurrence)) {
            waiting.add(occurrence);
          }
        }
      }
    }
    return waiting;
  }

  /** Returns one line on each running service: workers, usable ones, runs and waiting tasks. */
  public String outline(long nowMillis) {
    StringBuilder line = new StringBuilder();
    for (String service : runningServices.stream().sorted().toList()) {
      List<WorkerState> pool = workers.ofService(service);
      long usable = pool.stream().filter(worker -> worker.acceptsRuns(nowMillis)).count();
      int runs = pool.stream().mapToInt(worker -> worker.runs.size()).sum();
      line.append(service).append("=workers:").append(pool.size());
      line.append(",usable:").append(usable).append(",runs:").append(runs);
      line.append(",waiting:").append(occurrenceTable.waitingTasks(service)).append(' ');
    }
    return line.toString().strip();
  }

  /** Returns one line on why tasks of ready steps have no run at work; empty if all have one. */
  public String outlineNotStarted(long nowMillis, long wallMillis) {
    return notStarted.outline(
        runningServices,
        (occurrence, service) -> isBlocked(occurrence, service, nowMillis),
        nowMillis,
        wallMillis);
  }

  private void stopUnneededRuns(List<Order> orders, long nowMillis) {
    for (WorkerState worker : workers.all()) {
      for (TaskRun run : worker.runs.values()) {
        if (needsStop(run, nowMillis)) {
          orders.add(run.stop(nowMillis));
        }
      }
    }
  }

  private boolean needsStop(TaskRun run, long nowMillis) {
    long sinceOrder = nowMillis - run.lastOrderMillis;
    if (run.phase == TaskRun.Phase.STOPPING) {
      return run.orderAnsweredMillis == Long.MAX_VALUE && sinceOrder >= STOP_RETRY_MILLIS;
    }
    if (run.phase == TaskRun.Phase.STARTING) {
      // A report after the lost answer would have shown the run.
      return run.isUnanswered
          && run.worker.isReachable
          && sinceOrder >= UNANSWERED_START_TIMEOUT_MILLIS;
    }
    return !run.isNeeded();
  }

  private void place(
      OccurrenceState occurrence,
      ExhaustedCapacity exhausted,
      List<Order> orders,
      long nowMillis,
      long wallMillis) {
    if (wallMillis < occurrence.spec.dueMillis(occurrence.number)) {
      return;
    }
    String service = occurrence.policy.service();
    if (!runningServices.contains(service) || isBlocked(occurrence, service, nowMillis)) {
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

  /** Returns whether a worker of the last term that is not heard yet may run its tasks. */
  private boolean isBlocked(OccurrenceState occurrence, String service, long nowMillis) {
    return occurrence.submittedOffset < takeoverOffset
        && nowMillis < blockedUntilMillis
        && workers.hasUnreportedWorker(service);
  }

  /** Starts waiting tasks of a step and returns false if one fits nowhere. */
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
    String checkpoint = members.get(0).checkpoint;
    for (TaskState task : members) {
      task.checkpoint = checkpoint;
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
    task.lastRun = run;
    occurrence.addRun(task, started);
    worker.add(started);
    long until = worker.lease.grant(nowMillis);
    String permit = permits.permit(occurrence, task.step, worker, nowMillis);
    orders.add(
        new Order.Start(
            worker.facts, id, run, occurrence.spec.payload(), until, task.checkpoint, permit));
    if (occurrence.state == WorkflowState.PENDING) {
      occurrence.state = WorkflowState.ACTIVE;
      occurrenceTable.markDirty(occurrence);
    }
  }
}
