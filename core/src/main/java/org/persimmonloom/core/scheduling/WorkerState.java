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
  boolean hasReported;

  /** Whether it was listed when the term began, so that an earlier owner may have used it. */
  final boolean isFromPreviousTerm;

  /** Whether its life is over, although its entry may be listed for some time more. */
  boolean isTerminated;

  /** When the first answer under the present owner's fence came. */
  long firstReportMillis;

  boolean isReachable = true;
  long bornMillis;

  /** Highest end that was processed, and highest that is recorded in the log. */
  long processedEnd;

  long recordedEnd;

  /** Highest end that was handed over to be recorded, and highest the worker was told of. */
  long batchedEnd;

  long acknowledgedEnd;
  long holdSentMillis = Long.MIN_VALUE / 2;
  int failuresInARow;
  long avoidUntilMillis;
  long lastReportMillis;

  /** When the last report was asked for. */
  long lastReportSentMillis;

  /** Whether planned work will take the host down, so that nothing more starts there. */
  boolean isCordoned;

  Resources free;

  /** How many of the runs are fillers. */
  int fillerCount;

  WorkerState(WorkerFacts facts, long maxLeaseMillis, boolean isFromPreviousTerm) {
    this.facts = facts;
    this.isFromPreviousTerm = isFromPreviousTerm;
    bornMillis = facts.bornMillis();
    lease = new LeaseClock(maxLeaseMillis);
    free = facts.capacity();
  }

  boolean acceptsRuns(long nowMillis) {
    return isListed
        && hasReported
        && isReachable
        && !facts.draining()
        && !isCordoned
        && nowMillis >= avoidUntilMillis;
  }

  /**
   * Returns whether the last report shows the effect of every stop that earlier owners ordered. The
   * worker has refused their orders since it saw the present fence, but it lists a run whose stop
   * it accepted before as running until the run has ended.
   *
   * @param earlierStopMillis how long such a stop takes at most
   */
  boolean showsEarlierStops(long earlierStopMillis) {
    return hasReported && lastReportSentMillis - firstReportMillis >= earlierStopMillis;
  }

  /** Adds a run in place of an older one of its task, if there is one. */
  void add(TaskRun run) {
    TaskRun older = runs.put(run.task, run);
    if (older != null) {
      releaseResources(older);
    }
    free = free.minus(run.reserved);
    fillerCount += run.isFiller ? 1 : 0;
  }

  void remove(TaskRun run) {
    if (runs.remove(run.task, run)) {
      releaseResources(run);
    }
  }

  private void releaseResources(TaskRun run) {
    free = free.plus(run.reserved);
    fillerCount -= run.isFiller ? 1 : 0;
  }

  /** Returns whether ends are known only to this owner and the worker. */
  boolean hasUnrecordedEnds() {
    return processedEnd > recordedEnd;
  }

  /** Returns how many runs of one step of one occurrence are here. */
  int runCount(OccurrenceState occurrence, int step) {
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
