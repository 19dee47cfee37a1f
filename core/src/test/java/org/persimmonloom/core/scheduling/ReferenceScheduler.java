package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reference implementation of {@link FleetScheduler#decide}, which scans all workers and tasks
 * without shortcuts, on separate tables. Not thread-safe.
 */
final class ReferenceScheduler {
  final OccurrenceTable occurrenceTable = new OccurrenceTable();
  final PermitCache permits = new PermitCache(occurrenceTable);
  final WorkerTable workers;
  final List<OccurrenceState> startable = new ArrayList<>();
  private final FillerPacing pacing = new FillerPacing(occurrenceTable);
  private final long takeoverOffset;
  private final long blockedUntilMillis;
  private final Set<String> services;

  ReferenceScheduler(
      SchedulingSettings settings, long takeoverOffset, long nowMillis, Set<String> services) {
    this.takeoverOffset = takeoverOffset;
    this.services = services;
    blockedUntilMillis = nowMillis + settings.takeoverBlockMillis();
    workers = new WorkerTable(settings.maxLeaseMillis(), blockedUntilMillis, occurrenceTable);
  }

  List<Order> decide(long nowMillis, long wallMillis) {
    List<Order> orders = new ArrayList<>();
    workers.expireLeases(nowMillis);
    for (WorkerState worker : workers.all()) {
      for (TaskRun run : worker.runs.values()) {
        if (needsStop(run, nowMillis)) {
          orders.add(run.stop(nowMillis));
        }
      }
    }
    workers.all().forEach(worker -> pacing.decide(worker, orders, nowMillis));
    startable.clear();
    List<OccurrenceState> mostUrgentFirst = new ArrayList<>();
    occurrenceTable.byWorkflow().forEach(mostUrgentFirst::addAll);
    mostUrgentFirst.sort(
        Comparator.comparingInt(
                (OccurrenceState occurrence) -> occurrence.spec.isLongRunning() ? 0 : 1)
            .thenComparingInt(occurrence -> occurrenceTable.policy(occurrence.spec).priority())
            .thenComparingInt(occurrence -> lateness(occurrence, nowMillis))
            .thenComparingLong(
                occurrence -> occurrence.submittedMillis + occurrence.spec.objectiveMillis()));
    mostUrgentFirst.forEach(occurrence -> place(occurrence, orders, nowMillis, wallMillis));
    return orders;
  }

  private static int lateness(OccurrenceState occurrence, long nowMillis) {
    long age = nowMillis - occurrence.submittedMillis;
    if (age > 3 * occurrence.spec.objectiveMillis()) {
      return 2;
    }
    return age > occurrence.spec.objectiveMillis() ? 1 : 0;
  }

  private boolean needsStop(TaskRun run, long nowMillis) {
    long sinceOrder = nowMillis - run.lastOrderMillis;
    if (run.phase == TaskRun.Phase.STOPPING) {
      return !run.isStopPending && run.orderAnsweredMillis == Long.MAX_VALUE && sinceOrder >= 300;
    }
    if (run.phase == TaskRun.Phase.STARTING) {
      return run.isUnanswered && run.worker.isReachable && sinceOrder >= 400;
    }
    TaskState task = occurrenceTable.task(run.task);
    return task == null || task.isDone || !task.activeRuns.contains(run);
  }

  private void place(
      OccurrenceState occurrence, List<Order> orders, long nowMillis, long wallMillis) {
    String service = occurrenceTable.policy(occurrence.spec).service();
    boolean isBlocked =
        occurrence.submittedOffset < takeoverOffset
            && nowMillis < blockedUntilMillis
            && (occurrence.mayHaveRunElsewhere()
                ? workers.hasUnreportedWorker()
                : workers.hasUnreportedWorker(service));
    if (wallMillis < occurrence.spec.dueMillis(occurrence.number)
        || !services.contains(service)
        || isBlocked) {
      return;
    }
    startable.add(occurrence);
    for (int step = 0; step < occurrence.remaining.length; step++) {
      boolean isReady =
          occurrence.step(step).after().stream()
              .allMatch(earlier -> occurrence.remaining[earlier] == 0);
      if (occurrence.remaining[step] > 0 && isReady) {
        List<WorkerState> pool =
            permits.permitted(occurrence, step, workers.ofService(service), nowMillis);
        if (occurrence.step(step).gang()) {
          placeGang(occurrence, step, pool, orders, nowMillis);
        } else {
          placeTasks(occurrence, step, pool, orders, nowMillis);
        }
      }
    }
  }

  private void placeTasks(
      OccurrenceState occurrence, int step, List<WorkerState> pool, List<Order> orders, long now) {
    for (TaskState task : occurrence.tasksOf(step)) {
      if (isRunnable(task)) {
        WorkerState worker = Placement.choose(pool, occurrence, task, now);
        if (worker == null) {
          return;
        }
        start(occurrence, task, task.lastRun + 1, worker, orders, now);
      }
    }
  }

  private void placeGang(
      OccurrenceState occurrence, int step, List<WorkerState> pool, List<Order> orders, long now) {
    List<TaskState> members = occurrence.tasksOf(step);
    if (!members.stream().allMatch(ReferenceScheduler::isRunnable)) {
      return;
    }
    int run = members.stream().mapToInt(task -> task.lastRun).max().orElseThrow();
    Map<TaskState, WorkerState> chosen = Placement.chooseForGang(pool, occurrence, members, now);
    if (chosen != null) {
      TaskState newest = members.get(0);
      for (TaskState task : members) {
        newest = task.checkpointRun > newest.checkpointRun ? task : newest;
      }
      for (TaskState task : members) {
        task.checkpoint = newest.checkpoint;
        task.checkpointRun = newest.checkpointRun;
        start(occurrence, task, run + 1, chosen.get(task), orders, now);
      }
    }
  }

  private static boolean isRunnable(TaskState task) {
    return !task.isDone && task.activeRuns.isEmpty();
  }

  private void start(
      OccurrenceState occurrence,
      TaskState task,
      int run,
      WorkerState worker,
      List<Order> orders,
      long nowMillis) {
    TaskRun started = new TaskRun(occurrence.taskId(task), run, worker, occurrence, nowMillis);
    task.lastRun = run;
    occurrence.addRun(task, started);
    worker.add(started);
    long until = worker.lease.grant(nowMillis);
    String permit = permits.permit(occurrence, task.step, worker, nowMillis);
    orders.add(
        new Order.Start(
            worker.facts,
            started.task,
            run,
            occurrence.spec.payload(),
            until,
            task.checkpoint,
            permit));
    occurrenceTable.markDirty(occurrence);
  }
}
