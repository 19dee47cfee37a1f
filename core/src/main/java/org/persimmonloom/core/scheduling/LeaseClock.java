package org.persimmonloom.core.scheduling;

/**
 * Tracks a worker's monotonic clock to grant leases on it and to determine when every granted lease
 * has expired.
 *
 * <p>The worker's clock may run slow by up to {@link #MAX_SLOWNESS}, so expiry is computed for the
 * slowest clock that is consistent with the last reading. Not thread-safe.
 */
final class LeaseClock {
  /** The platform's protocol allows a worker's clock to be up to 2 % slow. */
  static final double MAX_SLOWNESS = 0.02;

  /** Allowance for the worker's timer, which ends the runs of an expired lease, in ms. */
  private static final long EXPIRY_MARGIN_MILLIS = 200;

  private final long maxLeaseMillis;
  private boolean isKnown;
  private long clockMillis;
  private long readAtMillis;
  private long latestUntilMillis = Long.MIN_VALUE;

  LeaseClock(long maxLeaseMillis) {
    this.maxLeaseMillis = maxLeaseMillis;
  }

  /**
   * Updates the bound with a clock reading that arrived at {@code nowMillis}. A reading below the
   * current bound is stale and is ignored.
   */
  void observe(long workerClockMillis, long nowMillis) {
    if (isKnown && lowerBound(nowMillis) > workerClockMillis) {
      return;
    }
    isKnown = true;
    clockMillis = workerClockMillis;
    readAtMillis = nowMillis;
  }

  boolean isKnown() {
    return isKnown;
  }

  /** Grants the longest lease that the platform allows; returns its end on the worker's clock. */
  long grant(long nowMillis) {
    long until = clockMillis + (nowMillis - readAtMillis) + maxLeaseMillis;
    latestUntilMillis = Math.max(latestUntilMillis, until);
    return until;
  }

  /** Returns whether every lease granted so far has expired, at any permitted clock rate. */
  boolean isExpired(long nowMillis) {
    if (latestUntilMillis == Long.MIN_VALUE) {
      return true;
    }
    return isKnown && lowerBound(nowMillis) > latestUntilMillis + EXPIRY_MARGIN_MILLIS;
  }

  /** Returns a lower bound of the worker's clock. */
  private long lowerBound(long nowMillis) {
    return clockMillis + Math.round((nowMillis - readAtMillis) * (1 - MAX_SLOWNESS));
  }
}
