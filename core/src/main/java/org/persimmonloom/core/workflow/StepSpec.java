package org.persimmonloom.core.workflow;

import java.util.List;

/**
 * One step of a workflow: a number of equal tasks. Immutable.
 *
 * @param tasks number of tasks, at least 1
 * @param request what each task asks of a worker
 * @param estimateMillis the submitter's rough estimate of a task's run time
 * @param after indexes of the steps that must be done first
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks only work while all of them run
 * @param sameRack whether the tasks run faster on one rack
 * @param label label that the worker must have, or empty
 * @param dataRack rack on which the data lies, or empty
 * @param maxPerWorker most tasks of the step on one worker; 0 for no limit
 * @param speculative whether several copies of a task may run at once
 * @param longRunning whether the tasks run until the workflow is cancelled
 * @param image name of the program the tasks run, or empty
 * @param targetMillis limit of the tail latency of a serving task; 0 for none
 * @param filler whether the tasks take only the processor time that others leave
 * @param mayMiss how many tasks may be unavailable at once through planned actions
 */
public record StepSpec(
    int tasks,
    Resources request,
    int estimateMillis,
    List<Integer> after,
    boolean checkpointing,
    boolean gang,
    boolean sameRack,
    String label,
    String dataRack,
    int maxPerWorker,
    boolean speculative,
    boolean longRunning,
    String image,
    int targetMillis,
    boolean filler,
    int mayMiss) {
  /** Copies the list. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /** Returns what a task takes of a worker's capacity; a filler takes no processor share. */
  public Resources reserved() {
    return filler ? request.withoutCpu() : request;
  }

  /** Returns whether the step serves users of its own and has a latency target. */
  public boolean hasLatencyTarget() {
    return longRunning && targetMillis > 0 && !filler;
  }
}
