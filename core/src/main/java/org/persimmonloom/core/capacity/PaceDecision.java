package org.persimmonloom.core.capacity;

/**
 * How many hosts of a pool a maintenance wave may have down at once.
 *
 * @param maxDown hosts that are draining, down or in probation for the wave; 0 pauses it
 * @param reason figures behind the decision
 */
public record PaceDecision(String pool, int maxDown, String reason) {}
