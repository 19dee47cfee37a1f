package org.persimmonloom.core.workflow;

import java.util.List;
import java.util.Objects;

/**
 * A step of a workflow, which consists of identical tasks. Immutable.
 *
 * @param tasks number of tasks, at least 1
 * @param request resources that each task requests
 * @param estimateMillis the submitter's rough estimate of the run time of a task
 * @param after indexes of the steps that must be complete before this step starts
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks make progress only while all of them run (gang scheduling)
 * @param sameRack whether the tasks run faster on one rack
 * @param label label that workers must have; empty for none
 * @param dataRack rack that stores the input data; empty for none
 * @param maxPerWorker maximum number of tasks of the step per worker; 0 for no limit
 * @param speculative whether several runs of a task may be active at once
 * @param longRunning whether the tasks run until the workflow is cancelled
 * @param image name of the program that the tasks run; empty for none
 * @param targetMillis target for the tail latency of each long-running task; 0 for none
 * @param filler whether the tasks use only processor time that other tasks leave idle
 * @param mayMiss maximum number of tasks that planned actions may make unavailable at once
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
  /** Copies the list of preceding steps; no reference may be null. */
  public StepSpec {
    Objects.requireNonNull(request);
    Objects.requireNonNull(label);
    Objects.requireNonNull(dataRack);
    Objects.requireNonNull(image);
    after = List.copyOf(after);
  }

  /** Returns the resources that a task reserves; a filler reserves no processor share. */
  public Resources reserved() {
    return filler ? request.withoutCpu() : request;
  }

  /** Returns whether the tasks are long-running services with a latency target. */
  public boolean hasLatencyTarget() {
    return longRunning && targetMillis > 0 && !filler;
  }
}
