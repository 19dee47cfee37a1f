package org.persimmonloom.core.capacity;

/**
 * Limit on the hosts of a pool that a maintenance wave may have down at once.
 *
 * @param maxDown maximum number of hosts draining, down or in probation for the wave; 0 pauses the
 *     wave in this pool
 * @param reason figures behind the decision
 */
public record PaceDecision(String pool, int maxDown, String reason) {}
