package org.persimmonloom.core.host;

/** The availability of a host for work. */
public enum HostState {
  /** Gets new work. */
  AVAILABLE,
  /** Gets no new work; work in progress continues. */
  DRAINING,
  /** Every live entry host has confirmed that nothing is in progress there. */
  DRAINED,
  /** Being rebooted or repaired. */
  DOWN,
  /** Up again and in probation; gets no new work yet. */
  RETURNED,
  /** Unavailable without having been drained. */
  LOST;

  /** Returns whether the host counts against availability budgets. */
  public boolean isUnavailable() {
    return this != AVAILABLE;
  }
}
