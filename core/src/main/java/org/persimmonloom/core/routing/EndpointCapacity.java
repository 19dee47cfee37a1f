package org.persimmonloom.core.routing;

/**
 * Limits of one endpoint over all entry hosts together.
 *
 * @param slots maximum number of concurrent requests
 * @param connections maximum number of open connections
 */
public record EndpointCapacity(String name, int slots, int connections) {
  /** Returns the slots that can be in use at once; each request in progress needs a connection. */
  int usableSlots() {
    return Math.min(slots, connections);
  }
}
