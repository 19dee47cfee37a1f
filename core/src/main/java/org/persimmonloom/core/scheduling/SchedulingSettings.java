package org.persimmonloom.core.scheduling;

/**
 * Limits of the scheduler. Immutable.
 *
 * @param maxLeaseMillis longest lease that a worker accepts
 * @param ownerRenewalTimeoutMillis how long an owner that cannot renew its ownership goes on giving
 *     orders
 * @param dutyLeaseMillis time in which orders of two owners for one host must not alternate
 * @param taskStopMillis longest time that a worker takes to stop a task
 * @param statusKeptMillis how long an ended workflow stays visible
 */
public record SchedulingSettings(
    long maxLeaseMillis,
    long ownerRenewalTimeoutMillis,
    long dutyLeaseMillis,
    long taskStopMillis,
    long statusKeptMillis) {
  /**
   * Returns how long after a take-over a silent worker may still run what an earlier owner started:
   * the earlier owner's patience and one lease on the slowest clock.
   */
  long takeoverBlockMillis() {
    return ownerRenewalTimeoutMillis
        + Math.round(maxLeaseMillis * (1 + LeaseClock.MAX_SLOWNESS))
        + 500;
  }

  /**
   * Returns how long after it has seen a new owner's fence a worker may still carry out a stop of
   * an earlier owner, on the slowest clock.
   */
  long earlierStopMillis() {
    return Math.round(taskStopMillis * (1 + LeaseClock.MAX_SLOWNESS));
  }
}
