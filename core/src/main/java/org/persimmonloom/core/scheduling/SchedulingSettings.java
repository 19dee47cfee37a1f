package org.persimmonloom.core.scheduling;

/**
 * Limits of the scheduler. Immutable.
 *
 * @param maxLeaseMillis longest lease that a worker accepts
 * @param ownerPatienceMillis how long an owner that cannot renew its ownership goes on giving
 *     orders
 * @param dutyLeaseMillis time in which orders of two owners for one host must not alternate
 * @param statusKeptMillis how long an ended workflow stays visible
 */
public record SchedulingSettings(
    long maxLeaseMillis, long ownerPatienceMillis, long dutyLeaseMillis, long statusKeptMillis) {
  /**
   * Returns how long after a take-over a silent worker may still run what an earlier owner started:
   * the earlier owner's patience and one lease on the slowest clock.
   */
  long takeoverBlockMillis() {
    return ownerPatienceMillis + Math.round(maxLeaseMillis * (1 + LeaseClock.MAX_SLOWNESS)) + 500;
  }
}
