package org.persimmonloom.core.scheduling;

import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Formats a log line with the reasons why tasks are not started.
 *
 * <p>Unfinished tasks of ready steps without a confirmed run are grouped by service and reason, so
 * the length of the line does not depend on the number of tasks. Waiting times count from the first
 * report that finds the task without a run, because the time of its last run's end is not kept.
 * Does not modify the tables that it reads. Not thread-safe.
 */
final class NotStartedReport {
  /** A worker with runs that has not reported for this time counts as silent, in ms. */
  private static final long SILENT_AFTER_MILLIS = 2_000;

  private final OccurrenceTable occurrenceTable;
  private final WorkerTable workers;
  private final PermitCache permits;

  /** Waiting tasks of the previous report, by identity. */
  private Map<TaskState, WaitStart> waitStarts = new IdentityHashMap<>();

  /** The time since which a task has waited, and the number of its last run at that time. */
  private record WaitStart(int lastRun, long sinceMillis) {}

  /** Inputs of one report. */
  private record FleetView(
      Set<String> services,
      BiPredicate<OccurrenceState, String> isBlocked,
      long nowMillis,
      long wallMillis) {}

  /** The tasks of one service that wait for the same reason; names the longest waiting task. */
  private static final class TaskGroup {
    int tasks;
    long oldestMillis = -1;
    OccurrenceState occurrence;
    TaskState task;

    void add(OccurrenceState addedOccurrence, TaskState added, long waitedMillis) {
      tasks++;
      if (waitedMillis > oldestMillis) {
        oldestMillis = waitedMillis;
        occurrence = addedOccurrence;
        task = added;
      }
    }
  }

  NotStartedReport(OccurrenceTable occurrenceTable, WorkerTable workers, PermitCache permits) {
    this.occurrenceTable = occurrenceTable;
    this.workers = workers;
    this.permits = permits;
  }

  /**
   * Returns one line with an entry for each service and reason; empty if no task waits.
   *
   * @param services services whose pools are running
   * @param isBlocked whether an occurrence may not start tasks on a service yet after a takeover
   */
  String outline(
      Set<String> services,
      BiPredicate<OccurrenceState, String> isBlocked,
      long nowMillis,
      long wallMillis) {
    FleetView view = new FleetView(services, isBlocked, nowMillis, wallMillis);
    Map<String, Map<NotStartedReason, TaskGroup>> groups = new TreeMap<>();
    Map<TaskState, WaitStart> found = new IdentityHashMap<>();
    for (List<OccurrenceState> occurrences : occurrenceTable.byWorkflow()) {
      for (OccurrenceState occurrence : occurrences) {
        add(occurrence, view, groups, found);
      }
    }
    waitStarts = found;
    return format(groups, nowMillis);
  }

  private void add(
      OccurrenceState occurrence,
      FleetView view,
      Map<String, Map<NotStartedReason, TaskGroup>> groups,
      Map<TaskState, WaitStart> found) {
    String service = occurrence.policy.service();
    for (int step = 0; step < occurrence.remaining.length; step++) {
      if (occurrence.remaining[step] == 0 || !occurrence.isReady(step)) {
        continue;
      }
      boolean isLongRunning = occurrence.step(step).longRunning();
      NotStartedReason stepReason = null;
      for (TaskState task : occurrence.tasksOf(step)) {
        NotStartedReason reason;
        if (task.isRunnable()) {
          // The reason is the same for all tasks of a step.
          stepReason = stepReason == null ? reason(occurrence, step, service, view) : stepReason;
          reason = stepReason;
        } else if (isLongRunning && hasOnlyUnconfirmedRuns(task, view.nowMillis())) {
          reason = NotStartedReason.BELIEVED_RUNNING;
        } else {
          continue;
        }
        groups
            .computeIfAbsent(service, key -> new EnumMap<>(NotStartedReason.class))
            .computeIfAbsent(reason, key -> new TaskGroup())
            .add(occurrence, task, waited(task, reason, view.nowMillis(), found));
      }
    }
  }

  private long waited(
      TaskState task, NotStartedReason reason, long nowMillis, Map<TaskState, WaitStart> found) {
    if (reason == NotStartedReason.NOT_DUE) {
      return 0;
    }
    WaitStart known = waitStarts.get(task);
    if (known == null || known.lastRun() != task.lastRun) {
      known = new WaitStart(task.lastRun, nowMillis);
    }
    found.put(task, known);
    return nowMillis - known.sinceMillis();
  }

  /** Returns the reason why the runnable tasks of a ready step do not start. */
  private NotStartedReason reason(
      OccurrenceState occurrence, int step, String service, FleetView view) {
    if (view.wallMillis() < occurrence.spec.dueMillis(occurrence.number)) {
      return NotStartedReason.NOT_DUE;
    }
    if (!view.services().contains(service)) {
      return NotStartedReason.SERVICE_NOT_RUNNING;
    }
    if (view.isBlocked().test(occurrence, service)) {
      return NotStartedReason.BLOCKED_AFTER_TAKEOVER;
    }
    boolean isGang = occurrence.step(step).gang();
    List<TaskState> tasks = occurrence.tasksOf(step);
    if (isGang && !tasks.stream().allMatch(TaskState::isRunnable)) {
      return NotStartedReason.GANG_MEMBER_ACTIVE;
    }
    long now = view.nowMillis();
    List<WorkerState> pool = workers.ofService(service);
    if (pool.stream().noneMatch(worker -> worker.acceptsRuns(now))) {
      return NotStartedReason.NO_WORKER_USABLE;
    }
    if (!canPlaceOnAny(pool, occurrence, step, now)) {
      return NotStartedReason.NO_ROOM;
    }
    List<WorkerState> permitted = permits.permitted(occurrence, step, pool, now);
    if (!canPlaceOnAny(permitted, occurrence, step, now)) {
      return NotStartedReason.NO_PERMIT;
    }
    if (isGang && Placement.chooseForGang(permitted, occurrence, tasks, now) == null) {
      return NotStartedReason.GANG_INCOMPLETE_ROOM;
    }
    return NotStartedReason.STARTABLE;
  }

  private static boolean canPlaceOnAny(
      List<WorkerState> pool, OccurrenceState occurrence, int step, long nowMillis) {
    return pool.stream()
        .anyMatch(worker -> Placement.canPlace(worker, occurrence, step, nowMillis));
  }

  private static boolean hasOnlyUnconfirmedRuns(TaskState task, long nowMillis) {
    return !task.activeRuns.isEmpty()
        && task.activeRuns.stream()
            .allMatch(run -> run.phase != TaskRun.Phase.RUNNING || isSilent(run.worker, nowMillis));
  }

  private static boolean isSilent(WorkerState worker, long nowMillis) {
    return !worker.isReachable || nowMillis - worker.lastReportMillis >= SILENT_AFTER_MILLIS;
  }

  private static String format(
      Map<String, Map<NotStartedReason, TaskGroup>> groups, long nowMillis) {
    StringBuilder line = new StringBuilder();
    groups.forEach(
        (service, reasons) ->
            reasons.forEach(
                (reason, group) -> {
                  line.append(service).append('.').append(reason);
                  line.append("=tasks:").append(group.tasks);
                  line.append(",oldest:").append(group.oldestMillis);
                  line.append(",task:").append(group.occurrence.taskId(group.task));
                  if (reason == NotStartedReason.BELIEVED_RUNNING) {
                    appendRun(line, group.task.activeRuns.get(0), nowMillis);
                  }
                  line.append(' ');
                }));
    return line.toString().strip();
  }

  private static void appendRun(StringBuilder line, TaskRun run, long nowMillis) {
    line.append(",run:").append(run.number);
    line.append(",worker:").append(run.worker.facts.id());
    line.append(",phase:").append(run.phase);
    line.append(",reported:").append(nowMillis - run.worker.lastReportMillis);
  }
}
