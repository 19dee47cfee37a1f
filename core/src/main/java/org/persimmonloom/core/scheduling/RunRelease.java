package org.persimmonloom.core.scheduling;

/** What shows that a run is over or has never begun, so that its task may start again. */
public enum RunRelease {
  /** The worker lists the end of the run. */
  END_REPORTED,
  /** A report of all ends that was requested after the last order of the run lacks the run. */
  NOT_REPORTED,
  /** The worker reports another run of the task. */
  OTHER_RUN_REPORTED,
  /** The first report of a new process of the worker lacks the run, as for NOT_REPORTED. */
  PROCESS_REPLACED,
  /** Another process answers at the worker's address. */
  ADDRESS_REUSED,
  /** The platform's list of hosts shows that the worker is gone. */
  HOST_WITHOUT_WORKER,
  /** The worker is unreachable, and every lease that it may hold has expired. */
  LEASE_EXPIRED,
  /** The start was not sent. */
  NOT_SENT,
  /** The worker refused the start. */
  REFUSED
}
