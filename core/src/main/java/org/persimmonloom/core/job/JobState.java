package org.persimmonloom.core.job;

/** The state of a job. */
public enum JobState {
  /** Waiting for placement at a worker. */
  QUEUED,
  /** Has a live attempt that is not known to have started. */
  PLACED,
  /** Has a live attempt that started. */
  RUNNING,
  /** Not placed again until an operator releases it; the reason is recorded. */
  PARKED,
  /** Ended successfully. */
  FINISHED,
  /** Not repeatable, and its attempt failed after it had started. */
  FAILED,
  /** Cancelled; no attempt is running. */
  CANCELLED,
  /** Not repeatable, and its attempt was lost after it could have started. */
  OUTCOME_UNKNOWN;

  /** Returns whether the job will never run again. */
  public boolean isEnded() {
    return ordinal() >= FINISHED.ordinal();
  }
}
