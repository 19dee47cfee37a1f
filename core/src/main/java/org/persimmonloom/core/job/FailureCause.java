package org.persimmonloom.core.job;

/** The cause of a failed attempt. */
public enum FailureCause {
  /** The worker rejected the start and will never run this attempt. */
  NOT_STARTED,
  /** The task ended with an error. */
  ERROR,
  /** The worker killed the task because it used more memory than was reserved. */
  OUT_OF_MEMORY
}
