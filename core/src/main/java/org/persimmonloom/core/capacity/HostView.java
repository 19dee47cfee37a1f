package org.persimmonloom.core.capacity;

import org.persimmonloom.core.host.HostState;

/**
 * The planner's input for one host.
 *
 * @param targetPool pool that the host is moving to; empty if it is not moving. The host counts in
 *     its old pool until it has joined the new one
 * @param awaitsMaintenance whether a running wave has yet to maintain this host
 * @param stateMillis time at which the host entered this state, in milliseconds
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
  /** Returns whether the host is moving to another pool. */
  public boolean isMovingOut() {
    return !targetPool.isEmpty();
  }
}
