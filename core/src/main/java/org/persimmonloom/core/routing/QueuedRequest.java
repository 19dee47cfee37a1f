package org.persimmonloom.core.routing;

/**
 * A queued request with the estimates made at its admission.
 *
 * @param meanRunMillis expected slot time in milliseconds
 * @param latestStartMillis latest time at which it must get a slot to complete by its deadline, in
 *     milliseconds since the epoch
 */
record QueuedRequest(
    PendingRequest request, WorkClass workClass, double meanRunMillis, long latestStartMillis) {
  long id() {
    return request.id();
  }
}
