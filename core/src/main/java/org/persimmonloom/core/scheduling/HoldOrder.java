package org.persimmonloom.core.scheduling;

/**
 * A long poll for a worker's status report, which also extends the lease of its runs.
 *
 * @param worker worker to poll
 * @param leaseUntilMillis end of the lease on the worker's clock; 0 if the lease is not extended
 * @param acknowledgedEnd the worker may discard ended runs up to this number, which are recorded; 0
 *     if there are none to discard
 * @param waitMillis how long the worker may wait for a run to end before it responds
 */
public record HoldOrder(
    WorkerFacts worker, long leaseUntilMillis, long acknowledgedEnd, int waitMillis) {}
