package org.persimmonloom.core.capacity;

/**
 * What was decided for one pool.
 *
 * @param hostsToCome hosts that will serve the pool once moves and maintenance under way have ended
 * @param hostsNeeded hosts that the trend needs, with head room
 * @param reason figures behind the verdict and what would change it
 */
public record PoolVerdict(String pool, double hostsToCome, double hostsNeeded, String reason) {}
