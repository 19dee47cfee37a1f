package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import org.persimmonloom.core.workflow.WorkflowState;

/**
 * Result of a search for a workflow.
 *
 * @param state state of the workflow; empty if it was not found
 * @param isConclusive whether the log was read up to its end after the question, so that a workflow
 *     that was not found does not exist
 */
public record WorkflowLookup(Optional<WorkflowState> state, boolean isConclusive) {
  static WorkflowLookup found(WorkflowState state) {
    return new WorkflowLookup(Optional.of(state), false);
  }

  /** Returns whether the workflow certainly does not exist. */
  public boolean isUnknown() {
    return state.isEmpty() && isConclusive;
  }
}
