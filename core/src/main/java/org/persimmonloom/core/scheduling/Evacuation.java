package org.persimmonloom.core.scheduling;

import java.util.List;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Moves tasks that last off workers that are to go down.
 *
 * <p>One task of a step is stopped at a time, only while all others are at work by a recent report
 * and another worker has room, so that planned work never takes more tasks than the step allows. A
 * report from a time in which the worker may carry out a stop of an earlier owner does not count,
 * since a run that is being stopped is listed as running at 100 %. Short tasks are left to end. Not
 * thread-safe.
 */
final class Evacuation {
  /** An older report does not show that a task is at work now, in ms. */
  private static final long REPORT_WITHIN_MILLIS = 2_500;

  private final OccurrenceTable occurrenceTable;
  private final WorkerTable workers;
  private final long earlierStopMillis;

  /**
   * Creates the evacuation of a new owner.
   *
   * @param earlierStopMillis how long a worker may still carry out a stop of an earlier owner
   */
  Evacuation(OccurrenceTable occurrenceTable, WorkerTable workers, long earlierStopMillis) {
    this.occurrenceTable = occurrenceTable;
    this.workers = workers;
    this.earlierStopMillis = earlierStopMillis;
  }

  /** Returns the orders that move tasks off the worker now. */
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
                          && nowMillis - run.worker.lastReportMillis < REPORT_WITHIN_MILLIS);
      if (other != task && !isRunning) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a task that lasts is still there, which an order to go down would cut off. */
  boolean hasLongRunningTask(WorkerState worker) {
    return worker.runs.values().stream()
        .anyMatch(
            run -> {
              StepSpec step = occurrenceTable.step(run.task);
              return step != null && step.longRunning();
            });
  }
}
