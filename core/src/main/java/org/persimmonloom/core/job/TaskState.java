package org.persimmonloom.core.job;

/** Where a task stands at its worker. An ended task is never started again under its attempt. */
public enum TaskState {
  RUNNING,
  FINISHED,
  FAILED,
  OUT_OF_MEMORY,
  /** Stopped on request, possibly before its start arrived. */
  STOPPED,
  /** Ended because its lease ran out. */
  EXPIRED,
  /** The start was refused for lack of room. */
  REFUSED
}
