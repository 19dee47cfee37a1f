package org.persimmonloom.core.job;

/** The state of a task at its worker. An ended task is never restarted as the same attempt. */
public enum TaskState {
  RUNNING,
  FINISHED,
  FAILED,
  OUT_OF_MEMORY,
  /** Stopped on request, possibly before the start request arrived. */
  STOPPED,
  /** Ended because its lease expired. */
  EXPIRED,
  /** The start was rejected for lack of free capacity. */
  REFUSED
}
