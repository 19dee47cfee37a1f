package org.persimmonloom.core.scheduling;

/** Why a run ended. */
public enum EndCause {
  DONE,
  FAILED,
  STOPPED,
  LEASE_EXPIRED,
  /** Another member of the gang ended. */
  GANG_BROKEN,
  /** The other members of the gang did not start in time. */
  GANG_INCOMPLETE
}
