package org.persimmonloom.core.workflow;

/** State of a workflow as its submitter sees it. */
public enum WorkflowState {
  PENDING,
  ACTIVE,
  COMPLETE,
  FAILED,
  CANCELLED;

  /** Returns whether no task of the workflow will start any more. */
  public boolean isFinal() {
    return this == COMPLETE || this == FAILED || this == CANCELLED;
  }
}
