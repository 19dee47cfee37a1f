package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/** State of a task of an occurrence. Not thread-safe. */
final class TaskState {
  final int position;
  final int step;
  final int index;

  /** Modified only by {@link OccurrenceState}, which keeps the count of waiting tasks. */
  final List<TaskRun> activeRuns = new ArrayList<>();

  final Set<String> failedWorkers = new HashSet<>();

  /** Set only by {@link OccurrenceState#markDone}. */
  boolean isDone;

  /** Highest run number so far; 0 before the first run. */
  int lastRun;

  /**
   * Numbers of the runs whose failure was counted. A set, because a worker repeats an end in its
   * reports until the end is acknowledged.
   */
  final SortedSet<Integer> failedRuns = new TreeSet<>();

  /** Newest checkpoint; empty if there is none. Set only by {@link #recordCheckpoint}. */
  String checkpoint = "";

  /** Number of the run that produced the checkpoint; 0 if there is none. */
  int checkpointRun;

  /** The run that was released last; null if this owner has released none. */
  ReleasedRun lastReleased;

  TaskState(int position, int step, int index) {
    this.position = position;
    this.step = step;
    this.index = index;
  }

  /**
   * Records the checkpoint of a run; no effect if it is empty or that of a higher run is known. The
   * reports of different workers arrive in any order.
   */
  void recordCheckpoint(int run, String reported) {
    if (!reported.isEmpty() && run >= checkpointRun) {
      checkpoint = reported;
      checkpointRun = run;
    }
  }

  boolean isRunnable() {
    return !isDone && activeRuns.isEmpty();
  }

  /** Returns the last run that this owner has released; empty if it knows none. */
  Optional<ReleasedRun> lastReleased() {
    return Optional.ofNullable(lastReleased);
  }
}
