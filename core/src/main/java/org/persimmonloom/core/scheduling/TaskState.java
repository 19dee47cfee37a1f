package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/** A task of an occurrence. Not thread-safe. */
final class TaskState {
  final int position;
  final int step;
  final int index;

  /** Changed only through {@link OccurrenceState}, which counts the waiting tasks. */
  final List<TaskRun> activeRuns = new ArrayList<>();

  final Set<String> failedWorkers = new HashSet<>();

  /** Set only through {@link OccurrenceState#markDone}. */
  boolean isDone;

  int lastRun;

  /** Runs whose failure was counted; a worker lists an end until it is acknowledged. */
  final SortedSet<Integer> failedRuns = new TreeSet<>();

  String checkpoint = "";

  TaskState(int position, int step, int index) {
    this.position = position;
    this.step = step;
    this.index = index;
  }

  boolean isRunnable() {
    return !isDone && activeRuns.isEmpty();
  }
}
