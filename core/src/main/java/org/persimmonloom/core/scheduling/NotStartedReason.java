package org.persimmonloom.core.scheduling;

/** Why a task whose step is ready has no run at work. */
enum NotStartedReason {
  /** The occurrence starts later. */
  NOT_DUE,

  /** The configuration has switched the service off or does not name it. */
  SERVICE_NOT_RUNNING,

  /** A worker that the new owner has not heard may still run the task. */
  BLOCKED_AFTER_TAKEOVER,

  /** Another member of the gang has a run, so that the gang cannot start anew. */
  GANG_MEMBER_ACTIVE,

  /** No worker of the service may start anything now. */
  NO_WORKER_USABLE,

  /** No usable worker has the room, the label and less than its share of the step's tasks. */
  NO_ROOM,

  /** Workers have room, but none of them has a valid permit for the step. */
  NO_PERMIT,

  /** Some members of the gang have room, but not all at once. */
  GANG_INCOMPLETE_ROOM,

  /** A worker could take the task; an owner that could not renew its term starts nothing. */
  STARTABLE,

  /** All runs of a lasting task are at silent workers, or are starting or stopping. */
  BELIEVED_RUNNING
}
