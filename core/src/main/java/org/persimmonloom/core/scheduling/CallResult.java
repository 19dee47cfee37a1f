package org.persimmonloom.core.scheduling;

/** Result of an order to a worker. */
public enum CallResult {
  ACCEPTED,
  /** A newer owner has given the worker orders. */
  FENCED,
  /** The worker knows this run or a later one of the task as ended. */
  RUN_SUPERSEDED,
  /** The lease in the order had expired on the worker's clock. */
  LEASE_TOO_OLD,
  NO_ROOM,
  /** The step's permission is missing or has expired. */
  PERMISSION_EXPIRED,
  /** The worker was unhealthy or rejected the order as malformed; it has done nothing. */
  REJECTED,
  /** Another process answers at the worker's address. */
  GONE,
  /** No connection could be made, so the order was not sent. */
  NOT_SENT,
  /** No answer; the order may be carried out, also later. */
  UNKNOWN
}
