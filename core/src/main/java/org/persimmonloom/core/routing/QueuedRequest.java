package org.persimmonloom.core.routing;

/**
 * A request in the queue with the estimates it was admitted with.
 *
 * @param meanRunMillis slot time it is expected to take
 * @param latestStartMillis when it must get a slot to be complete at its deadline
 */
record QueuedRequest(
    PendingRequest request, WorkClass workClass, double meanRunMillis, long latestStartMillis) {
  long id() {
    return request.id();
  }
}
