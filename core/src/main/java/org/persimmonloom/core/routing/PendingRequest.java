package org.persimmonloom.core.routing;

import java.util.Objects;
import java.util.Set;

/**
 * A request waiting for a slot.
 *
 * @param id unique within the scheduler
 * @param route method and the first two path segments; run times are learned per route
 * @param hint the class that the caller named; null if it named none
 * @param arrivedMillis time when the caller's request was accepted, in milliseconds since the epoch
 * @param deadlineMillis time when the caller stops waiting, in milliseconds since the epoch
 * @param attempt 0 for the first attempt, higher for retries
 * @param triedEndpoints endpoints of earlier attempts, which are avoided
 */
public record PendingRequest(
    long id,
    String route,
    WorkClass hint,
    long arrivedMillis,
    long deadlineMillis,
    int attempt,
    Set<String> triedEndpoints) {
  public PendingRequest {
    Objects.requireNonNull(route, "route");
    triedEndpoints = Set.copyOf(triedEndpoints);
  }
}
