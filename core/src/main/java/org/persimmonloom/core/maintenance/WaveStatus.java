package org.persimmonloom.core.maintenance;

/** Where a wave stands. */
public enum WaveStatus {
  /** Accepted; its window has not started. */
  SCHEDULED,
  RUNNING,
  /** Unplanned losses use up a budget that every pending host needs. */
  PAUSED,
  /** Every host was maintained or skipped for a stated reason. */
  DONE,
  /** The window ended before every host was maintained. */
  INCOMPLETE,
  CANCELLED;

  /** Returns whether hosts may still be drained for the wave. */
  public boolean isOpen() {
    return this == SCHEDULED || this == RUNNING || this == PAUSED;
  }
}
