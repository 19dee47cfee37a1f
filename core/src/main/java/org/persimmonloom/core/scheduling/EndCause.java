package org.persimmonloom.core.scheduling;

/** Why a run ended. */
public enum EndCause {
  DONE,
  FAILED,
  STOPPED,
  LEASE_EXPIRED,
  /** Another member of its gang ended. */
  GANG_BROKEN,
  /** It waited too long for the other members of its gang. */
  GANG_INCOMPLETE
}
