package org.persimmonloom.core.scheduling;

import java.util.List;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Moves long-running tasks off workers whose hosts are about to be taken down.
 *
 * <p>A task is stopped only while recent reports show all other tasks of its step at full speed and
 * another worker has capacity for it. Planned work therefore makes at most one task of a step
 * unavailable at a time. A report does not count if the worker may still have been executing a stop
 * order of an earlier owner, because workers report a stopping run as running at 100 %. Short tasks
 * are left to finish. Not thread-safe.
 */
final class Evacuation {
  /** Maximum age of a report that shows a task running, in ms. */
  private static final long MAX_REPORT_AGE_MILLIS = 2_500;

  private final OccurrenceTable occurrenceTable;
  private final WorkerTable workers;
  private final long earlierStopMillis;

  /**
   * Creates the evacuation of a new owner.
   *
   * @param earlierStopMillis how long a worker may still execute a stop order of an earlier owner
   */
  Evacuation(OccurrenceTable occurrenceTable, WorkerTable workers, long earlierStopMillis) {
    this.occurrenceTable = occurrenceTable;
    this.workers = workers;
    this.earlierStopMillis = earlierStopMillis;
  }

  /** Adds stop orders for the tasks that may be moved off the worker now. */
  void evacuate(WorkerState worker, List<Order> orders, long nowMillis) {
    for (TaskRun run : worker.runs.values()) {
      if (run.phase == TaskRun.Phase.RUNNING && mayStop(run, nowMillis)) {
        orders.add(run.stop(nowMillis));
      }
    }
  }

  private boolean mayStop(TaskRun run, long nowMillis) {
    OccurrenceState occurrence = occurrenceTable.occurrence(run.task);
    TaskState task = occurrence == null ? null : occurrence.task(run.task);
    if (task == null || !occurrence.step(task.step).longRunning()) {
      return false;
    }
    return areOthersRunning(occurrence, task, nowMillis)
        && Placement.choose(
                workers.ofService(occurrence.policy.service()), occurrence, task, nowMillis)
            != null;
  }

  private boolean areOthersRunning(OccurrenceState occurrence, TaskState task, long nowMillis) {
    for (TaskState other : occurrence.tasksOf(task.step)) {
      boolean isRunning =
          other.activeRuns.stream()
              .anyMatch(
                  run ->
                      run.isAtFullSpeed()
                          && run.worker.isReachable
                          && run.worker.showsEarlierStops(earlierStopMillis)
                          && nowMillis - run.worker.lastReportMillis < MAX_REPORT_AGE_MILLIS);
      if (other != task && !isRunning) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the worker has a long-running task, which taking its host down would end. */
  boolean hasLongRunningTask(WorkerState worker) {
    return worker.runs.values().stream()
        .anyMatch(
            run -> {
              StepSpec step = occurrenceTable.step(run.task);
              return step != null && step.longRunning();
            });
  }
}
