package org.persimmonloom.core.job;

/** Where a job stands. */
public enum JobState {
  /** Waits for a worker. */
  QUEUED,
  /** Has a live attempt that is not known to have started. */
  PLACED,
  /** Has a live attempt that started. */
  RUNNING,
  /** On hold with a reason until an operator releases it. */
  PARKED,
  /** Ended with success. */
  FINISHED,
  /** Not repeatable, ran and failed. */
  FAILED,
  /** Cancelled; nothing of it runs. */
  CANCELLED,
  /** Not repeatable, and its attempt was lost after it could have started. */
  OUTCOME_UNKNOWN;

  /** Returns whether the job will never run again. */
  public boolean isEnded() {
    return ordinal() >= FINISHED.ordinal();
  }
}
