package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TaskId;

/** A run of a task at a worker, as far as the owner knows. Not thread-safe. */
final class TaskRun {
  /** Progress of a run from its first order to its end. */
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

  /** When the last order about this run was answered; a later report that lacks the run ends it. */
  long orderAnsweredMillis = Long.MAX_VALUE;

  long lastOrderMillis;
  String checkpoint = "";
  int speedPercent;
  int load;
  int pacePercent = 100;
  boolean isUnanswered;

  /**
   * Creates a run.
   *
   * @param occurrence occurrence of the task; null if it has ended or is unknown
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
   * Marks the run as being stopped and returns the order, which is repeated until it is answered.
   */
  Order.Stop stop(long nowMillis) {
    phase = Phase.STOPPING;
    orderAnsweredMillis = Long.MAX_VALUE;
    lastOrderMillis = nowMillis;
    return new Order.Stop(worker.facts, task, number);
  }

  /** Returns whether the task still asks for this run. */
  boolean isNeeded() {
    return state != null && !occurrence.isEnded && !state.isDone && state.activeRuns.contains(this);
  }

  /** Returns whether the run works at full speed. */
  boolean isAtFullSpeed() {
    return phase == Phase.RUNNING && speedPercent >= 100;
  }
}
