package org.persimmonloom.core.scheduling;

/** Result of an order to a worker. */
public enum CallResult {
  ACCEPTED,
  /** The worker has accepted the fence of a newer owner. */
  FENCED,
  /** This run or a later run of the task has already ended on the worker. */
  RUN_SUPERSEDED,
  /** The lease in the order had expired on the worker's clock. */
  LEASE_TOO_OLD,
  NO_ROOM,
  /** The permit of the step is missing or has expired. */
  PERMISSION_EXPIRED,
  /** The worker is unhealthy or the order is malformed; it had no effect. */
  REJECTED,
  /** A different process responds at the worker's address. */
  GONE,
  /** The connection failed, so the order was not sent. */
  NOT_SENT,
  /** No response; the order may have taken effect, or may still do so. */
  UNKNOWN
}
