package org.persimmonloom.core.scheduling;

/** Why a task whose step is ready has no confirmed run. */
enum NotStartedReason {
  /** The scheduled time of the occurrence has not been reached. */
  NOT_DUE,

  /** The service is switched off or is missing from the configuration. */
  SERVICE_NOT_RUNNING,

  /** A worker that has not reported to the new owner may still run the task. */
  BLOCKED_AFTER_TAKEOVER,

  /** Another member of the gang has an active run, which blocks a restart of the gang. */
  GANG_MEMBER_ACTIVE,

  /** No worker of the service accepts runs at present. */
  NO_WORKER_USABLE,

  /** No usable worker has enough capacity, the label, and a count below the step's limit. */
  NO_ROOM,

  /** Some workers have capacity, but none has a valid permit for the step. */
  NO_PERMIT,

  /** There is capacity for single members of the gang, but not for all of them at once. */
  GANG_INCOMPLETE_ROOM,

  /** A worker could run the task, but an owner that failed to renew its term starts no task. */
  STARTABLE,

  /** Every run of a long-running task is on a silent worker, or is starting or stopping. */
  BELIEVED_RUNNING
}
