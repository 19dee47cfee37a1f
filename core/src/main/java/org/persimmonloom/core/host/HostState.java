package org.persimmonloom.core.host;

/** Where a host stands between service and maintenance. */
public enum HostState {
  /** Takes new work. */
  AVAILABLE,
  /** Takes no new work; work in progress goes on. */
  DRAINING,
  /** Every live entry host has confirmed that nothing is in progress there. */
  DRAINED,
  /** Being rebooted or repaired. */
  DOWN,
  /** Back, in probation; takes no new work yet. */
  RETURNED,
  /** Unavailable without having been drained. */
  LOST;

  /** Returns whether the host counts against availability budgets. */
  public boolean isUnavailable() {
    return this != AVAILABLE;
  }
}
