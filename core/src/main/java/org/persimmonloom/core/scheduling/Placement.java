package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Chooses workers for tasks.
 *
 * <p>Tasks are packed onto the workers with the least free processor capacity, so that whole
 * workers stay idle. Tasks with a latency target interfere with each other and go to the worker
 * with the fewest runs. Workers on which the task has failed, and workers on other racks than its
 * data, come last. Stateless.
 */
final class Placement {
  private static final double PENALTY_FAILED_BEFORE = 1_000;
  private static final double PENALTY_FAR_FROM_DATA = 100;
  private static final double PENALTY_PER_RUN = 10;

  private Placement() {}

  /** Returns the best worker for the task, or null if none can run it now. */
  static WorkerState choose(
      Collection<WorkerState> workers, OccurrenceState occurrence, TaskState task, long nowMillis) {
    WorkerState best = null;
    double bestScore = Double.MAX_VALUE;
    for (WorkerState worker : workers) {
      if (!canPlace(worker, occurrence, task.step, nowMillis)) {
        continue;
      }
      double score = score(worker, occurrence.step(task.step), task);
      if (score < bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return best;
  }

  /** Returns whether a task of the step could start on the worker now, apart from permits. */
  static boolean canPlace(
      WorkerState worker, OccurrenceState occurrence, int step, long nowMillis) {
    return worker.acceptsRuns(nowMillis) && fits(worker, worker.free, occurrence, step, 0);
  }

  /**
   * Returns a worker for every task of a gang, or null if they do not all fit at once. A gang that
   * runs faster on one rack is placed in the smallest group of workers with a common label and
   * enough capacity, since racks are not distinguished from other labels.
   */
  static Map<TaskState, WorkerState> chooseForGang(
      Collection<WorkerState> workers,
      OccurrenceState occurrence,
      Collection<TaskState> tasks,
      long nowMillis) {
    int step = tasks.iterator().next().step;
    if (occurrence.step(step).sameRack()) {
      for (List<WorkerState> group : groupsByLabel(workers)) {
        Map<TaskState, WorkerState> chosen = chooseFrom(group, occurrence, tasks, nowMillis);
        if (chosen != null) {
          return chosen;
        }
      }
    }
    return chooseFrom(workers, occurrence, tasks, nowMillis);
  }

  private static List<List<WorkerState>> groupsByLabel(Collection<WorkerState> workers) {
    Map<String, List<WorkerState>> groups = new TreeMap<>();
    for (WorkerState worker : workers) {
      for (String label : worker.facts.labels()) {
        groups.computeIfAbsent(label, key -> new ArrayList<>()).add(worker);
      }
    }
    List<List<WorkerState>> smallestFirst = new ArrayList<>(groups.values());
    smallestFirst.sort(Comparator.comparingInt(List::size));
    return smallestFirst;
  }

  private static Map<TaskState, WorkerState> chooseFrom(
      Collection<WorkerState> workers,
      OccurrenceState occurrence,
      Collection<TaskState> tasks,
      long nowMillis) {
    Map<TaskState, WorkerState> chosen = new HashMap<>();
    Map<WorkerState, Resources> free = new HashMap<>();
    Map<WorkerState, Integer> plannedCounts = new HashMap<>();
    for (TaskState task : tasks) {
      WorkerState selected = null;
      for (WorkerState worker : workers) {
        Resources available = free.getOrDefault(worker, worker.free);
        int count = plannedCounts.getOrDefault(worker, 0);
        if (worker.acceptsRuns(nowMillis)
            && fits(worker, available, occurrence, task.step, count)) {
          selected = worker;
          break;
        }
      }
      if (selected == null) {
        return null;
      }
      chosen.put(task, selected);
      Resources reserved = occurrence.step(task.step).reserved();
      free.put(selected, free.getOrDefault(selected, selected.free).minus(reserved));
      plannedCounts.merge(selected, 1, Integer::sum);
    }
    return chosen;
  }

  private static boolean fits(
      WorkerState worker,
      Resources free,
      OccurrenceState occurrence,
      int stepIndex,
      int plannedCount) {
    StepSpec step = occurrence.step(stepIndex);
    if (!free.covers(step.reserved())) {
      return false;
    }
    if (!step.label().isEmpty() && !worker.facts.labels().contains(step.label())) {
      return false;
    }
    return step.maxPerWorker() == 0
        || worker.runCount(occurrence, stepIndex) + plannedCount < step.maxPerWorker();
  }

  private static double score(WorkerState worker, StepSpec step, TaskState task) {
    double score =
        worker.free.cpuMillis() / (double) Math.max(1, worker.facts.capacity().cpuMillis());
    if (step.hasLatencyTarget()) {
      score = PENALTY_PER_RUN * worker.runs.size() - score;
    }
    if (task.failedWorkers.contains(worker.facts.id())) {
      score += PENALTY_FAILED_BEFORE;
    }
    if (!step.dataRack().isEmpty() && !worker.facts.labels().contains(step.dataRack())) {
      score += PENALTY_FAR_FROM_DATA;
    }
    return score;
  }
}
