package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Applies the ends of runs to their tasks and workers. Not thread-safe. */
final class RunEndHandler {
  /** Number of consecutive failures after which a worker is avoided for a while. */
  private static final int MAX_CONSECUTIVE_FAILURES = 3;

  private static final long AVOID_FAILING_MILLIS = 4_000;

  private final OccurrenceTable occurrenceTable;
  private RunListener listener = RunListener.NONE;

  RunEndHandler(OccurrenceTable occurrenceTable) {
    this.occurrenceTable = occurrenceTable;
  }

  void setListener(RunListener listener) {
    this.listener = listener;
  }

  /** Applies a reported end; {@code sentMillis} is when the report was requested. */
  void runEnded(WorkerState worker, EndedTask ended, long sentMillis, long nowMillis) {
    TaskRun run = worker.runs.get(ended.task());
    if (run != null && run.number <= ended.run()) {
      release(run, RunRelease.END_REPORTED, sentMillis, nowMillis);
    }
    OccurrenceState occurrence = occurrenceTable.occurrence(ended.task());
    TaskState task = occurrence == null ? null : occurrence.task(ended.task());
    if (task == null) {
      return;
    }
    occurrenceTable.markBegun(occurrence);
    task.lastRun = Math.max(task.lastRun, ended.run());
    occurrence.runSeen(task, ended.run());
    task.recordCheckpoint(ended.run(), ended.checkpoint());
    switch (ended.cause()) {
      case DONE -> taskDone(worker, occurrence, task);
      case FAILED -> taskFailed(worker, occurrence, task, ended.run(), nowMillis);
      default -> {
        // Removing the run has already made the task runnable again.
      }
    }
  }

  private void taskDone(WorkerState worker, OccurrenceState occurrence, TaskState task) {
    worker.consecutiveFailures = 0;
    if (occurrence.step(task.step).longRunning()) {
      return;
    }
    if (occurrence.step(task.step).gang()) {
      occurrence.tasksOf(task.step).forEach(occurrence::markDone);
    }
    occurrence.markDone(task);
    if (occurrence.isComplete()) {
      occurrenceTable.end(occurrence, WorkflowState.COMPLETE);
    } else {
      occurrenceTable.markDirty(occurrence);
    }
  }

  private void taskFailed(
      WorkerState worker, OccurrenceState occurrence, TaskState task, int run, long nowMillis) {
    worker.consecutiveFailures++;
    if (worker.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
      worker.avoidUntilMillis = nowMillis + AVOID_FAILING_MILLIS;
    }
    task.failedWorkers.add(worker.facts.id());
    StepSpec step = occurrence.step(task.step);
    if (step.longRunning() || !task.failedRuns.add(run)) {
      return;
    }
    if (task.failedRuns.size() >= occurrence.policy.attempts()) {
      occurrenceTable.end(occurrence, WorkflowState.FAILED);
    } else {
      occurrenceTable.markDirty(occurrence);
    }
  }

  /**
   * Removes a run; its task may start again if it has no other active run.
   *
   * @param evidenceMillis monotonic time at which the evidence for the release was requested
   */
  void release(TaskRun run, RunRelease release, long evidenceMillis, long nowMillis) {
    run.worker.remove(run);
    ReleasedRun released =
        new ReleasedRun(
            run.task,
            run.number,
            run.worker.facts.id(),
            release,
            evidenceMillis,
            run.worker.lastReportMillis,
            nowMillis);
    OccurrenceState occurrence = occurrenceTable.occurrence(run.task);
    TaskState task = occurrence == null ? null : occurrence.task(run.task);
    if (task != null) {
      occurrence.removeRun(task, run);
      task.lastReleased = released;
    }
    listener.runReleased(released);
  }
}
