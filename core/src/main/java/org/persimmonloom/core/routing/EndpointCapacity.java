package org.persimmonloom.core.routing;

/**
 * What one endpoint accepts from all entry hosts together.
 *
 * @param slots requests that run at once
 * @param connections connections that are open at once
 */
public record EndpointCapacity(String name, int slots, int connections) {
  /** Returns the slots that can be used, since each request in progress needs a connection. */
  int usableSlots() {
    return Math.min(slots, connections);
  }
}
