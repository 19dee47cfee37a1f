package org.persimmonloom.core.workflow;

/** State of a workflow as its submitter sees it. */
public enum WorkflowState {
  PENDING,
  ACTIVE,
  COMPLETE,
  FAILED,
  CANCELLED;

  /** Returns whether this is a final state, in which no task of the workflow starts any more. */
  public boolean isFinal() {
    return this == COMPLETE || this == FAILED || this == CANCELLED;
  }
}
