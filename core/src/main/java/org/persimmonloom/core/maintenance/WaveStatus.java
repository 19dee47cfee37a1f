package org.persimmonloom.core.maintenance;

/** The status of a wave. */
public enum WaveStatus {
  /** Accepted; the window has not started. */
  SCHEDULED,
  RUNNING,
  /** Each pending host is counted by a budget that unplanned losses have used up. */
  PAUSED,
  /** Every host was maintained, or skipped with a recorded reason. */
  DONE,
  /** The window ended before every host was maintained. */
  INCOMPLETE,
  CANCELLED;

  /** Returns whether hosts may still be drained for the wave. */
  public boolean isOpen() {
    return this == SCHEDULED || this == RUNNING || this == PAUSED;
  }
}
