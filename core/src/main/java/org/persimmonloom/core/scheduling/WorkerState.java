package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/** A worker as the owner sees it. Not thread-safe. */
final class WorkerState {
  final Map<TaskId, TaskRun> runs = new HashMap<>();
  WorkerFacts facts;
  LeaseClock lease;

  /** Whether the worker is in the published list. */
  boolean isListed = true;

  /** Whether it answered under the present owner's fence, so that all that runs there is known. */
  boolean isHeard;

  boolean isReachable = true;
  long bornMillis;

  /** Highest end that was processed, and highest that is recorded in the log. */
  long processedEnd;

  long recordedEnd;

  /** Highest end that was handed over to be recorded, and highest the worker was told of. */
  long handedOverEnd;

  long acknowledgedEnd;
  long askedMillis = Long.MIN_VALUE / 2;
  int failuresInARow;
  long avoidUntilMillis;
  long lastReportMillis;

  /** Whether planned work will take the host down, so that nothing more starts there. */
  boolean isCordoned;

  Resources free;

  /** How many of the runs are fillers. */
  int fillers;

  WorkerState(WorkerFacts facts, long maxLeaseMillis) {
    this.facts = facts;
    bornMillis = facts.bornMillis();
    lease = new LeaseClock(maxLeaseMillis);
    free = facts.capacity();
  }

  boolean mayStart(long nowMillis) {
    return isListed
        && isHeard
        && isReachable
        && !facts.draining()
        && !isCordoned
        && nowMillis >= avoidUntilMillis;
  }

  /** Adds a run in place of an older one of its task, if there is one. */
  void add(TaskRun run) {
    TaskRun older = runs.put(run.task, run);
    if (older != null) {
      giveBack(older);
    }
    free = free.minus(run.reserved);
    fillers += run.isFiller ? 1 : 0;
  }

  void remove(TaskRun run) {
    if (runs.remove(run.task, run)) {
      giveBack(run);
    }
  }

  private void giveBack(TaskRun run) {
    free = free.plus(run.reserved);
    fillers -= run.isFiller ? 1 : 0;
  }

  /** Returns whether ends are known only to this owner and the worker. */
  boolean hasUnrecordedEnds() {
    return processedEnd > recordedEnd;
  }

  /** Returns how many runs of one step of one occurrence are here. */
  int countOf(OccurrenceState occurrence, int step) {
    int count = 0;
    for (TaskRun run : runs.values()) {
      if (run.task.step() == step
          && run.task.occurrence() == occurrence.number
          && run.task.workflow().equals(occurrence.spec.id())) {
        count++;
      }
    }
    return count;
  }
}
