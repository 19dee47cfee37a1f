package org.persimmonloom.core.scheduling;

/**
 * Time limits of the scheduler. Immutable.
 *
 * @param maxLeaseMillis maximum lease that a worker accepts
 * @param ownerRenewalTimeoutMillis how long an owner that fails to renew its ownership keeps
 *     sending orders
 * @param dutyLeaseMillis interval within which orders of two owners for one host must not alternate
 * @param taskStopMillis maximum time that a worker takes to stop a task
 * @param statusKeptMillis how long the status of an ended workflow is retained
 */
public record SchedulingSettings(
    long maxLeaseMillis,
    long ownerRenewalTimeoutMillis,
    long dutyLeaseMillis,
    long taskStopMillis,
    long statusKeptMillis) {
  /**
   * Returns how long after a takeover a silent worker may still run tasks of an earlier owner: the
   * earlier owner's renewal timeout, one lease on the slowest permitted clock, and 500 ms.
   */
  long takeoverBlockMillis() {
    return ownerRenewalTimeoutMillis
        + Math.round(maxLeaseMillis * (1 + LeaseClock.MAX_SLOWNESS))
        + 500;
  }

  /**
   * Returns how long a worker may still execute a stop order of an earlier owner after it has seen
   * the new owner's fence, on the slowest permitted clock.
   */
  long earlierStopMillis() {
    return Math.round(taskStopMillis * (1 + LeaseClock.MAX_SLOWNESS));
  }
}
