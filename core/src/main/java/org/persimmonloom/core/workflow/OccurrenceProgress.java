package org.persimmonloom.core.workflow;

import java.util.BitSet;
import java.util.Objects;

/**
 * Progress of an occurrence as recorded by the fleet owner. Arrays are indexed by the position of
 * the task in the occurrence. They may be shorter than the number of tasks; missing elements count
 * as 0 or empty. Treated as immutable.
 *
 * @param queue queue of the workflow
 * @param state state of the occurrence
 * @param done bit set of the tasks that ended successfully, encoded by {@link BitSet#toByteArray}
 * @param runs highest run number of each task
 * @param failedRuns numbers of the failed runs of each task
 * @param updatedMillis Unix time at which the record was made
 */
public record OccurrenceProgress(
    String queue,
    WorkflowState state,
    byte[] done,
    int[] runs,
    int[][] failedRuns,
    long updatedMillis) {
  /** No reference may be null. */
  public OccurrenceProgress {
    Objects.requireNonNull(queue);
    Objects.requireNonNull(state);
    Objects.requireNonNull(done);
    Objects.requireNonNull(runs);
    for (int[] numbers : failedRuns) {
      Objects.requireNonNull(numbers);
    }
  }
}
