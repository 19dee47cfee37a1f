package org.persimmonloom.runtime.workflow;

/** Keyed tables in the platform's log. */
public enum Table {
  /** Submissions, cancellations and progress of workflows. */
  WORKFLOWS,
  /** Addresses of the entry hosts. */
  HOSTS,
  /** The present owner of the fleet. */
  OWNERSHIP,
  /** Progress of maintenance waves, kept for the next owner. */
  MAINTENANCE,
  /** Configuration and maintenance waves; written by operators. */
  OPERATIONS,
  /** Workers; written by the workers. */
  WORKERS,
  /** Progress of maintenance waves, read by operators. */
  STATUS
}
