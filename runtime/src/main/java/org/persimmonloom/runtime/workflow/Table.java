package org.persimmonloom.runtime.workflow;

/** Keyed tables in the platform's log. */
public enum Table {
  /** Submissions, cancellations and progress of workflows. */
  WORKFLOWS,
  /** Addresses and processor time of the entry hosts. */
  HOSTS,
  /** Claims, renewals and releases of the fleet's ownership. */
  OWNERSHIP,
  /** Hosts that owners have ordered lately. */
  HOST_ORDERS,
  /** Progress of maintenance waves, written and read by owners. */
  MAINTENANCE,
  /** Configuration and maintenance waves; written by operators. */
  OPERATIONS,
  /** Descriptions of workers; written by the workers. */
  WORKERS,
  /** Progress of maintenance waves; read by operators. */
  STATUS
}
