package org.persimmonloom.core.routing;

import java.util.Objects;
import java.util.Set;

/**
 * A request that waits for a slot.
 *
 * @param id unique within the scheduler
 * @param route what run times are learned by: method and the first two path segments
 * @param hint the class that the caller named; null if none
 * @param arrivedMillis when the caller's request was accepted, in milliseconds since the epoch
 * @param deadlineMillis when the caller stops waiting, in milliseconds since the epoch
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
