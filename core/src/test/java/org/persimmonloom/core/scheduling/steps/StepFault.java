package org.persimmonloom.core.scheduling.steps;

/**
 * A fault of a {@link StepPlan}.
 *
 * @param atMillis when it begins
 * @param kind what it disturbs
 * @param target number of the host, worker host or workflow; {@link #OWNER} for the present owner,
 *     {@link #ALL} for all hosts
 * @param other number of the worker host of a disturbed link; {@link #ALL} for all
 * @param durationMillis how long it lasts
 */
record StepFault(long atMillis, Kind kind, int target, int other, long durationMillis) {
  static final int OWNER = -1;

  /** All hosts, or all worker hosts. */
  static final int ALL = -2;

  enum Kind {
    /** An entry host stands still. */
    FREEZE,
    /** An entry host stands still between its next decision and the sending of the orders. */
    FREEZE_IN_PASS,
    /** An entry host stands still right after the next answer of a worker has arrived. */
    FREEZE_AT_ANSWER,
    /** The calls of an entry host to the store are lost. */
    HOST_CUT_FROM_STORE,
    /** The store carries out the calls of an entry host, but its answers are lost. */
    STORE_ANSWERS_LOST,
    /** The store carries out the calls of an entry host seconds late. */
    STORE_CALLS_LATE,
    /** The store is silent. */
    STORE_DOWN,
    /** Calls of an entry host to a worker are lost. */
    LINK_CUT,
    /** Calls of an entry host to a worker fail while they connect. */
    LINK_REFUSED,
    /** A worker carries out the calls of an entry host, but its answers are lost. */
    LINK_ANSWERS_LOST,
    /** A worker carries out the calls of an entry host seconds late. */
    LINK_LATE,
    /** A worker process ends, and another one with another identifier starts on its host. */
    WORKER_REPLACED,
    /** A worker process ends, and starts again with its identifier. */
    WORKER_RESTARTED,
    /** A worker writes no heartbeats, so that its entry lapses. */
    ENTRY_LAPSES,
    /** A host list names no worker of an up host. */
    LIST_UNNAMED,
    /** Host lists are as old as the duration. */
    LIST_STALE,
    HOST_RESTARTED,
    /** A host loads the newest records of the workflow table anew. */
    TABLE_RELOADED,
    /** The record of a submission is appended again. */
    SUBMISSION_REPEATED,
    WORKFLOW_CANCELLED,
    /** The queue is routed to the other service for the duration. */
    REROUTED
  }

  boolean covers(long millis) {
    return millis >= atMillis && millis < atMillis + durationMillis;
  }

  @Override
  public String toString() {
    return atMillis + " " + kind + " " + target + "/" + other + " for " + durationMillis;
  }
}
