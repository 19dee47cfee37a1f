package org.persimmonloom.core.capacity;

/**
 * What was decided for one pool.
 *
 * @param projectedHosts hosts that will serve the pool once moves and maintenance under way have
 *     ended
 * @param requiredHosts hosts that the trend needs, with head room
 * @param reason figures behind the verdict and what would change it
 */
public record PoolDecision(
    String pool, double projectedHosts, double requiredHosts, String reason) {}
