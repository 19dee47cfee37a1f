package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.TaskId;

/** An order about one run, sent to its worker. */
public sealed interface Order {
  /** Returns the worker that the order is sent to. */
  WorkerFacts worker();

  /** Returns the task of the run. */
  TaskId task();

  /** Returns the number of the run. */
  int run();

  /**
   * Starts a run.
   *
   * @param payload the workflow's payload
   * @param leaseUntilMillis end of the lease on the worker's clock
   * @param checkpoint checkpoint to resume from; empty to start from the beginning
   * @param permit permit of the placement policy service; empty if the queue needs none
   */
  record Start(
      WorkerFacts worker,
      TaskId task,
      int run,
      String payload,
      long leaseUntilMillis,
      String checkpoint,
      String permit)
      implements Order {}

  /** Stops a run. If the start order arrives later, the worker rejects it. */
  record Stop(WorkerFacts worker, TaskId task, int run) implements Order {}

  /**
   * Limits the speed of a run.
   *
   * @param percent share of full speed, 0 to 100
   */
  record Pace(WorkerFacts worker, TaskId task, int run, int percent) implements Order {}
}
