package org.persimmonloom.core.scheduling;

/**
 * Follows a worker's steady clock to decide how long a lease may run and when it has surely
 * expired.
 *
 * <p>The worker's clock may run slow by {@link #MAX_SLOWNESS}, so expiry is judged by the slowest
 * clock that agrees with the last reading. Not thread-safe.
 */
final class LeaseClock {
  /** From the platform's protocol: a worker's clock may be 2 % slow. */
  static final double MAX_SLOWNESS = 0.02;

  /** Allows for the worker's own timer when it ends the runs of an expired lease, in ms. */
  private static final long EXPIRY_MARGIN_MILLIS = 200;

  private final long maxLeaseMillis;
  private boolean isKnown;
  private long clockMillis;
  private long readAtMillis;
  private long latestUntilMillis = Long.MIN_VALUE;

  LeaseClock(long maxLeaseMillis) {
    this.maxLeaseMillis = maxLeaseMillis;
  }

  /** Notes a reading that arrived at {@code nowMillis}. */
  void observe(long workerClockMillis, long nowMillis) {
    if (isKnown && estimate(nowMillis) > workerClockMillis) {
      return;
    }
    isKnown = true;
    clockMillis = workerClockMillis;
    readAtMillis = nowMillis;
  }

  boolean isKnown() {
    return isKnown;
  }

  /** Returns a lease end on the worker's clock, as late as the platform allows. */
  long grant(long nowMillis) {
    long until = clockMillis + (nowMillis - readAtMillis) + maxLeaseMillis;
    latestUntilMillis = Math.max(latestUntilMillis, until);
    return until;
  }

  /** Returns whether every lease granted so far has expired, whatever the worker's clock rate. */
  boolean isExpired(long nowMillis) {
    if (latestUntilMillis == Long.MIN_VALUE) {
      return true;
    }
    return isKnown && estimate(nowMillis) > latestUntilMillis + EXPIRY_MARGIN_MILLIS;
  }

  private long estimate(long nowMillis) {
    return clockMillis + Math.round((nowMillis - readAtMillis) * (1 - MAX_SLOWNESS));
  }
}
