package org.persimmonloom.core.capacity;

/**
 * The decision for one pool.
 *
 * @param projectedHosts hosts that will serve the pool once moves and maintenance in progress have
 *     ended
 * @param requiredHosts hosts that the trend and the covered share of the burst require
 * @param reason figures of the decision and the values at which it would change
 */
public record PoolDecision(
    String pool, double projectedHosts, double requiredHosts, String reason) {}
