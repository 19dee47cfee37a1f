package org.persimmonloom.core.capacity;

import org.persimmonloom.core.host.HostState;

/**
 * A host as the planner sees it.
 *
 * @param targetPool pool that the host is on its way to; empty if it stays. The host counts in its
 *     old pool until it has joined the new one
 * @param awaitsMaintenance whether a running wave has still to take this host down
 * @param stateMillis time since which the host is in this state
 * @param busySlots slots in use, as last reported
 */
public record HostView(
    String name,
    String rack,
    String dataCentre,
    HostState state,
    String targetPool,
    boolean awaitsMaintenance,
    long stateMillis,
    int busySlots) {
  /** Returns whether the host leaves its pool. */
  public boolean isMovingOut() {
    return !targetPool.isEmpty();
  }
}
