package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/** The owner's view of a worker. Not thread-safe. */
final class WorkerState {
  /** A time before any other. */
  static final long NEVER = Long.MIN_VALUE / 2;

  final Map<TaskId, TaskRun> runs = new HashMap<>();
  WorkerFacts facts;
  LeaseClock lease;

  /** Whether the worker is in the published list. */
  boolean isPublished;

  /** Whether a record names this worker as one that may hold leases, so that it may get orders. */
  boolean isRecorded;

  /**
   * Whether the worker has reported under the current owner's fence, so that its runs are known.
   */
  boolean hasReported;

  /** Whether an earlier owner may have given the worker tasks whose lease is not over. */
  boolean isFromPreviousTerm;

  /** Whether the worker process has ended; its entry may stay in the published list for a while. */
  boolean isTerminated;

  /**
   * Whether a report of the present process under the current owner's fence has listed all ends, so
   * that the ends of runs of earlier owners are known as well.
   */
  boolean hasListedAllEnds;

  /** Whether the last report did not list all ends. */
  boolean hasUnlistedEnds;

  /** When the newest host list was requested that shows the worker's end; none names it since. */
  long missingFromHostsMillis = NEVER;

  /** When an entry last named a new process; a host list requested earlier does not show it. */
  long newProcessMillis = NEVER;

  /** When the first report under the current owner's fence arrived. */
  long firstReportMillis;

  boolean isReachable = true;

  /**
   * Address at which the worker answered last; before any report, the one under which it became
   * known, which is the recorded one if it has a record. An entry may name an address at which the
   * worker has never been.
   */
  String confirmedAddress;

  /** Start time of the process that reported last; that of the first entry before any report. */
  long bornMillis;

  /** Highest number of a run end that was applied to its task. */
  long processedEnd;

  /** Highest number of a run end that is recorded in the log. */
  long recordedEnd;

  /** Highest number of a run end that was included in a {@link ProgressBatch}. */
  long batchedEnd;

  /** Run ends in the last report. */
  List<EndedTask> listedEnds = List.of();

  long holdSentMillis = NEVER;
  int consecutiveFailures;
  long avoidUntilMillis;
  long lastReportMillis;

  /** When the request for the last report was sent. */
  long lastReportSentMillis;

  /** Whether new runs are prevented, because the host will be taken down or moved. */
  boolean isCordoned;

  Resources free;

  /** Number of runs of filler tasks. */
  int fillerCount;

  WorkerState(WorkerFacts facts, long maxLeaseMillis, boolean isFromPreviousTerm) {
    this.facts = facts;
    confirmedAddress = facts.address();
    this.isFromPreviousTerm = isFromPreviousTerm;
    bornMillis = facts.bornMillis();
    lease = new LeaseClock(maxLeaseMillis);
    free = facts.capacity();
  }

  /**
   * Prepares for the first report of a process that an entry names. Orders meant for the previous
   * process may have reached it, so runs are kept until it reports, or until the leases that it may
   * have taken until now are over. The same holds for orders of an earlier owner: the new process
   * has not seen the current fence. The entry may also be older than the last report.
   */
  void expectNewProcess(long nowMillis) {
    hasReported = false;
    hasListedAllEnds = false;
    isReachable = true;
    isTerminated = false;
    missingFromHostsMillis = NEVER;
    newProcessMillis = nowMillis;
    holdSentMillis = NEVER;
    if (lease.isKnown()) {
      // The clock of the previous process still measures the time for which a lease may last.
      lease.grant(nowMillis);
    }
  }

  /**
   * Returns whether a start time is that of another process than the present one. Compared for
   * equality only, since the wall clock of a host may be set back before a restart.
   */
  boolean isOtherProcess(long otherBornMillis) {
    return otherBornMillis != 0 && bornMillis != 0 && otherBornMillis != bornMillis;
  }

  /** Returns whether the worker is in the published list and not known to have terminated. */
  boolean isListed() {
    return isPublished && !isTerminated;
  }

  /**
   * Returns whether the worker may run tasks of an earlier owner, or may have ended them, without
   * the knowledge of this owner. A missing entry does not show that it runs nothing: its own report
   * of all ends does, its termination, and the end of the longest lease.
   */
  boolean mayRunEarlierTasks() {
    return isFromPreviousTerm && !hasListedAllEnds && !isTerminated;
  }

  /** Returns whether the worker runs nothing and can begin nothing without a new order. */
  boolean canRunNothing() {
    return runs.isEmpty() && !mayRunEarlierTasks();
  }

  /** Returns whether a host list that was requested after the last report shows its end. */
  boolean isMissingFromHosts() {
    return missingFromHostsMillis > lastReportMillis;
  }

  boolean acceptsRuns(long nowMillis) {
    return isListed()
        && !isMissingFromHosts()
        && isRecorded
        && hasReported
        && isReachable
        && !facts.draining()
        && !isCordoned
        && nowMillis >= avoidUntilMillis;
  }

  /**
   * Returns whether the last report reflects every stop order of earlier owners. The worker has
   * rejected their orders since it saw the current fence, but it reports a run whose stop it
   * accepted before that as running until the run has ended.
   *
   * @param earlierStopMillis maximum duration of such a stop
   */
  boolean showsEarlierStops(long earlierStopMillis) {
    return hasReported && lastReportSentMillis - firstReportMillis >= earlierStopMillis;
  }

  /** Adds a run, which replaces an older run of the same task if there is one. */
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

  /** Returns whether some processed run ends are not recorded in the log yet. */
  boolean hasUnrecordedProcessedEnds() {
    return processedEnd > recordedEnd;
  }

  /**
   * Returns up to which end the worker may forget its ends; 0 if none. An end is acknowledged only
   * while the worker lists it, and not after a call without an answer: another process may run
   * under the worker's identifier by then, whose ends have the same numbers and are not read yet.
   *
   * @param isUnrecorded whether what follows from an end could not be stored. Such an end is kept,
   *     with all later ones, unless it holds up ends that the worker does not list yet
   */
  long acknowledgeableEnd(Predicate<EndedTask> isUnrecorded) {
    if (!hasReported || !isReachable) {
      return 0;
    }
    long firstKept = Long.MAX_VALUE;
    for (EndedTask ended : listedEnds) {
      if (ended.number() > recordedEnd || (!hasUnlistedEnds && isUnrecorded.test(ended))) {
        firstKept = Math.min(firstKept, ended.number());
      }
    }
    long highest = 0;
    for (EndedTask ended : listedEnds) {
      if (ended.number() < firstKept) {
        highest = Math.max(highest, ended.number());
      }
    }
    return highest;
  }

  /** Returns whether the worker lists ends with numbers above the given one. */
  boolean listsEndsAfter(long number) {
    return listedEnds.stream().anyMatch(ended -> ended.number() > number);
  }

  /** Returns whether some run ends, listed or not, are not recorded in the log yet. */
  boolean hasUnrecordedEnds() {
    return hasUnrecordedProcessedEnds() || hasUnlistedEnds;
  }

  /** Returns the number of runs of a step on this worker. */
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
