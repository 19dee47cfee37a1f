package org.persimmonloom.core.scheduling;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** One occurrence of a workflow that has not ended. Not thread-safe. */
final class OccurrenceState {
  final WorkflowSpec spec;
  final int number;
  final long submittedOffset;
  final TaskState[] tasks;
  final int[] missing;

  /** When the workflow was submitted, on the owner's steady clock. */
  final long submittedMillis;

  final long objectiveMillis;
  final boolean isLongRunning;
  WorkflowState state = WorkflowState.PENDING;

  OccurrenceState(WorkflowSpec spec, int number, long submittedOffset, long submittedMillis) {
    this.spec = spec;
    this.number = number;
    this.submittedOffset = submittedOffset;
    this.submittedMillis = submittedMillis;
    objectiveMillis = spec.objectiveMillis();
    isLongRunning = spec.isLongRunning();
    tasks = new TaskState[spec.taskCount()];
    missing = new int[spec.steps().size()];
    int position = 0;
    for (int step = 0; step < missing.length; step++) {
      missing[step] = spec.steps().get(step).tasks();
      for (int index = 0; index < missing[step]; index++) {
        tasks[position] = new TaskState(position, step, index);
        position++;
      }
    }
  }

  /** Takes over what an earlier owner recorded. */
  void restore(OccurrenceProgress progress) {
    state = progress.state();
    BitSet done = BitSet.valueOf(progress.done());
    for (TaskState task : tasks) {
      task.runs = at(progress.runs(), task.position);
      if (task.position < progress.failedRuns().length) {
        Arrays.stream(progress.failedRuns()[task.position]).forEach(task.failedRuns::add);
      }
      if (done.get(task.position)) {
        markDone(task);
      }
    }
  }

  private static int at(int[] values, int position) {
    return position < values.length ? values[position] : 0;
  }

  OccurrenceProgress progress(long wallMillis) {
    BitSet done = new BitSet(tasks.length);
    int[] runs = new int[tasks.length];
    int[][] failedRuns = new int[tasks.length][];
    for (TaskState task : tasks) {
      done.set(task.position, task.isDone);
      runs[task.position] = task.runs;
      failedRuns[task.position] = task.failedRuns.stream().mapToInt(Integer::intValue).toArray();
    }
    return new OccurrenceProgress(
        spec.policy().queue(), state, done.toByteArray(), runs, failedRuns, wallMillis);
  }

  StepSpec step(int index) {
    return spec.steps().get(index);
  }

  /** Returns the tasks of a step, in their order. */
  List<TaskState> tasksOf(int step) {
    int first = spec.firstTask(step);
    return Arrays.asList(tasks).subList(first, first + step(step).tasks());
  }

  TaskId taskId(TaskState task) {
    return new TaskId(spec.id(), number, task.step, task.index);
  }

  /** Returns the task that {@code id} names, or null if the occurrence has no such task. */
  TaskState task(TaskId id) {
    if (id.step() < 0 || id.step() >= missing.length) {
      return null;
    }
    if (id.index() < 0 || id.index() >= step(id.step()).tasks()) {
      return null;
    }
    return tasks[spec.firstTask(id.step()) + id.index()];
  }

  void markDone(TaskState task) {
    if (!task.isDone) {
      task.isDone = true;
      missing[task.step]--;
    }
  }

  boolean isReady(int step) {
    List<Integer> after = step(step).after();
    return after.stream().allMatch(earlier -> missing[earlier] == 0);
  }

  /** Returns how many tasks could start if there was room. */
  int waitingTasks() {
    int waiting = 0;
    for (int step = 0; step < missing.length; step++) {
      waiting += missing[step] > 0 && isReady(step) ? waitingTasks(step) : 0;
    }
    return waiting;
  }

  /** Returns how many tasks of a step are neither done nor running. */
  int waitingTasks(int step) {
    int waiting = 0;
    for (TaskState task : tasksOf(step)) {
      waiting += task.isRunnable() ? 1 : 0;
    }
    return waiting;
  }

  boolean isComplete() {
    for (int count : missing) {
      if (count > 0) {
        return false;
      }
    }
    return true;
  }
}
