package org.persimmonloom.core.scheduling;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** State of an occurrence of a workflow. Not thread-safe. */
final class OccurrenceState {
  final WorkflowSpec spec;
  final int number;
  final long submittedOffset;
  final TaskState[] tasks;

  /** Current policy of the workflow's queue; set only by {@link #setPolicy}. */
  QueuePolicy policy;

  /** Whether the workflow's queue was routed to another service than at its submission. */
  boolean isRerouted;

  /** Positions of the tasks whose last recorded run no worker has shown to this owner. */
  private final BitSet unseenRuns = new BitSet();

  /** Number of tasks of each step that are not done. */
  final int[] remaining;

  /** Number of tasks of each step that are not done and have no active run. */
  private final int[] waiting;

  /** Submission time on the owner's monotonic clock. */
  final long submittedMillis;

  final long objectiveMillis;
  final boolean isLongRunning;
  WorkflowState state = WorkflowState.PENDING;

  /** Whether this occurrence has ended, or another occurrence of the workflow has failed. */
  boolean isEnded;

  OccurrenceState(WorkflowSpec spec, int number, long submittedOffset, long submittedMillis) {
    this.spec = spec;
    policy = spec.policy();
    this.number = number;
    this.submittedOffset = submittedOffset;
    this.submittedMillis = submittedMillis;
    objectiveMillis = spec.objectiveMillis();
    isLongRunning = spec.isLongRunning();
    tasks = new TaskState[spec.taskCount()];
    remaining = new int[spec.steps().size()];
    waiting = new int[remaining.length];
    int position = 0;
    for (int step = 0; step < remaining.length; step++) {
      remaining[step] = spec.steps().get(step).tasks();
      waiting[step] = remaining[step];
      for (int index = 0; index < remaining[step]; index++) {
        tasks[position] = new TaskState(position, step, index);
        position++;
      }
    }
  }

  /**
   * Sets the policy of the queue.
   *
   * @param wasRerouted whether the queue may have had another service under an earlier owner
   */
  void setPolicy(QueuePolicy current, boolean wasRerouted) {
    policy = current;
    isRerouted |= wasRerouted || !current.service().equals(spec.policy().service());
  }

  /**
   * Returns whether runs of earlier owners may be on workers of another service than the queue has
   * now. A repeated submission has the route of its own time, and a queue may have been routed away
   * and back, so the same service then and now does not show where a recorded run is that no worker
   * has reported.
   */
  boolean mayHaveRunElsewhere() {
    return isRerouted || !unseenRuns.isEmpty();
  }

  /** Notes that a worker has reported a run of a task, at work or ended. */
  void runSeen(TaskState task, int run) {
    if (run >= task.lastRun) {
      unseenRuns.clear(task.position);
    }
  }

  /** Restores the progress that an earlier owner recorded. */
  void restore(OccurrenceProgress progress) {
    state = progress.state();
    BitSet done = BitSet.valueOf(progress.done());
    for (TaskState task : tasks) {
      task.lastRun = valueOrZero(progress.runs(), task.position);
      if (task.position < progress.failedRuns().length) {
        Arrays.stream(progress.failedRuns()[task.position]).forEach(task.failedRuns::add);
      }
      if (done.get(task.position)) {
        markDone(task);
      } else if (task.lastRun > 0 && !task.failedRuns.contains(task.lastRun)) {
        unseenRuns.set(task.position);
      }
    }
  }

  private static int valueOrZero(int[] values, int position) {
    return position < values.length ? values[position] : 0;
  }

  OccurrenceProgress progress(long wallMillis) {
    BitSet done = new BitSet(tasks.length);
    int[] runs = new int[tasks.length];
    int[][] failedRuns = new int[tasks.length][];
    for (TaskState task : tasks) {
      done.set(task.position, task.isDone);
      runs[task.position] = task.lastRun;
      failedRuns[task.position] = task.failedRuns.stream().mapToInt(Integer::intValue).toArray();
    }
    return new OccurrenceProgress(
        spec.policy().queue(), state, done.toByteArray(), runs, failedRuns, wallMillis);
  }

  StepSpec step(int index) {
    return spec.steps().get(index);
  }

  /** Returns the tasks of a step, ordered by index. */
  List<TaskState> tasksOf(int step) {
    int first = spec.firstTask(step);
    return Arrays.asList(tasks).subList(first, first + step(step).tasks());
  }

  /**
   * Gives all members of a gang the checkpoint of the newest run that has one. That of any member
   * is valid for the gang, and all members must carry the same.
   */
  void shareNewestCheckpoint(int step) {
    List<TaskState> members = tasksOf(step);
    TaskState newest =
        members.stream().max(Comparator.comparingInt(task -> task.checkpointRun)).orElseThrow();
    members.forEach(task -> task.recordCheckpoint(newest.checkpointRun, newest.checkpoint));
  }

  TaskId taskId(TaskState task) {
    return new TaskId(spec.id(), number, task.step, task.index);
  }

  /** Returns the task with the given identifier, or null if the occurrence has no such task. */
  TaskState task(TaskId id) {
    if (id.step() < 0 || id.step() >= remaining.length) {
      return null;
    }
    if (id.index() < 0 || id.index() >= step(id.step()).tasks()) {
      return null;
    }
    return tasks[spec.firstTask(id.step()) + id.index()];
  }

  void markDone(TaskState task) {
    if (!task.isDone) {
      waiting[task.step] -= task.isRunnable() ? 1 : 0;
      task.isDone = true;
      remaining[task.step]--;
      unseenRuns.clear(task.position);
    }
  }

  /** Adds an active run to a task. */
  void addRun(TaskState task, TaskRun run) {
    waiting[task.step] -= task.isRunnable() ? 1 : 0;
    task.activeRuns.add(run);
  }

  /** Removes an active run from a task; has no effect if the task does not have it. */
  void removeRun(TaskState task, TaskRun run) {
    if (task.activeRuns.remove(run)) {
      waiting[task.step] += task.isRunnable() ? 1 : 0;
    }
  }

  boolean isReady(int step) {
    for (int earlier : step(step).after()) {
      if (remaining[earlier] > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a task of the step could start if there was capacity. */
  boolean isWaiting(int step) {
    return waiting[step] > 0 && isReady(step);
  }

  /** Returns whether any task could start if there was capacity. */
  boolean isWaiting() {
    for (int step = 0; step < waiting.length; step++) {
      if (isWaiting(step)) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks could start if there was capacity. */
  int waitingTasks() {
    int sum = 0;
    for (int step = 0; step < waiting.length; step++) {
      sum += isWaiting(step) ? waiting[step] : 0;
    }
    return sum;
  }

  /** Returns how many tasks of a step are not done and have no active run. */
  int waitingTasks(int step) {
    return waiting[step];
  }

  boolean isComplete() {
    for (int count : remaining) {
      if (count > 0) {
        return false;
      }
    }
    return true;
  }
}
