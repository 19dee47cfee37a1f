package org.persimmonloom.core.job;

/** Why an attempt failed. */
public enum FailureCause {
  /** The worker refused the start and will never run this attempt. */
  NOT_STARTED,
  /** The task ended with an error. */
  ERROR,
  /** The worker killed the task because it used more memory than was reserved. */
  OUT_OF_MEMORY
}
