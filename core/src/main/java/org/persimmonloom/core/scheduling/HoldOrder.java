package org.persimmonloom.core.scheduling;

/**
 * A request for a worker's lists that also renews its lease.
 *
 * @param worker the worker
 * @param leaseUntilMillis end of the lease on the worker's clock; 0 while the clock is unknown
 * @param acknowledgedEnd ends up to this number are recorded
 * @param waitMillis how long the worker may wait for an end before it answers
 */
public record HoldOrder(
    WorkerFacts worker, long leaseUntilMillis, long acknowledgedEnd, int waitMillis) {}
