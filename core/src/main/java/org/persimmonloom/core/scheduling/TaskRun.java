package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TaskId;

/** The owner's view of a run of a task on a worker. Not thread-safe. */
final class TaskRun {
  /** Phase of a run between its start order and its end. */
  enum Phase {
    STARTING,
    RUNNING,
    STOPPING
  }

  final TaskId task;
  final int number;
  final WorkerState worker;
  final Resources reserved;
  final boolean isFiller;
  private final OccurrenceState occurrence;
  private final TaskState state;
  Phase phase = Phase.STARTING;

  /**
   * When the last start or stop order of this run was confirmed; {@link Long#MAX_VALUE} while it is
   * unconfirmed. A report requested after this time that lacks the run shows that it has ended.
   */
  long orderAnsweredMillis = Long.MAX_VALUE;

  /** When the last order was decided, or ended without a confirmation. */
  long lastOrderMillis;

  /** Whether a stop order is queued or in flight; it is not repeated before it has a result. */
  boolean isStopPending;

  /**
   * Whether the last report lacks the run but does not list all ends, so that the end of the run
   * may not be listed yet.
   */
  boolean mayHaveUnlistedEnd;

  /** Speed that the worker last reported; see {@link RunningTask#percent}. */
  int speedPercent;

  /** Load that the worker last reported; see {@link RunningTask#load}. */
  int load;

  /** Speed limit that was last ordered. */
  int pacePercent = 100;

  /** Whether the start order got no response, so that it is unknown whether the run exists. */
  boolean isUnanswered;

  /**
   * Creates a run.
   *
   * @param occurrence occurrence of the task; null if the occurrence has ended or is unknown
   */
  TaskRun(TaskId task, int number, WorkerState worker, OccurrenceState occurrence, long nowMillis) {
    this.task = task;
    this.number = number;
    this.worker = worker;
    this.occurrence = occurrence;
    state = occurrence == null ? null : occurrence.task(task);
    StepSpec step = state == null ? null : occurrence.step(state.step);
    reserved = step == null ? Resources.NONE : step.reserved();
    isFiller = step != null && step.filler();
    lastOrderMillis = nowMillis;
  }

  /**
   * Marks the run as stopping and returns the stop order, which is repeated until it is confirmed.
   */
  Order.Stop stop(long nowMillis) {
    phase = Phase.STOPPING;
    isStopPending = true;
    orderAnsweredMillis = Long.MAX_VALUE;
    lastOrderMillis = nowMillis;
    return new Order.Stop(worker.facts, task, number);
  }

  /** Returns whether the task is unfinished and this is one of its active runs. */
  boolean isNeeded() {
    return state != null && !occurrence.isEnded && !state.isDone && state.activeRuns.contains(this);
  }

  /** Returns whether the run is running at full speed. */
  boolean isAtFullSpeed() {
    return phase == Phase.RUNNING && !mayHaveUnlistedEnd && speedPercent >= 100;
  }
}
