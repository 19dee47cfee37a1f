package org.persimmonloom.runtime.log;

import java.util.random.RandomGenerator;

/**
 * When the next append may start. The pace keeps the fleet within its budget of appends. When the
 * log is slower than the pace, the interval grows by twice the excess, so that a slow log gets less
 * load; after failures the delay doubles, with jitter, so that the hosts do not return together.
 * Guarded by its owner's lock; times in milliseconds of a steady clock.
 */
final class AppendPacer {
  /** Longest interval; an outage must be noticed to be over before callers' deadlines pass. */
  static final long MAX_DELAY_MILLIS = 2_000;

  private static final long MIN_RETRY_MILLIS = 100;
  private static final int MAX_DOUBLINGS = 5;

  /** Weight of a new measurement; a log that recovers is trusted sooner than a slow one is. */
  private static final double RISE_WEIGHT = 0.3;

  private static final double FALL_WEIGHT = 0.5;

  private final RandomGenerator random;
  private long startMillis;
  private long paceMillis;
  private long nextMillis;
  private double latencyMillis;
  private long lastMillis;
  private int failures;

  AppendPacer(RandomGenerator random) {
    this.random = random;
  }

  void started(long nowMillis, long budgetPaceMillis) {
    startMillis = nowMillis;
    paceMillis = budgetPaceMillis;
    nextMillis = nowMillis + budgetPaceMillis;
  }

  void succeeded(long nowMillis) {
    failures = 0;
    measure(nowMillis);
    double excessMillis = Math.max(0, latencyMillis - paceMillis);
    nextMillis = startMillis + Math.min(MAX_DELAY_MILLIS, paceMillis + (long) (2 * excessMillis));
  }

  void failed(long nowMillis) {
    measure(nowMillis);
    long baseMillis = Math.max(MIN_RETRY_MILLIS, (long) latencyMillis);
    long limitMillis = Math.min(MAX_DELAY_MILLIS, baseMillis << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    nextMillis = nowMillis + limitMillis / 2 + random.nextLong(limitMillis / 2 + 1);
  }

  private void measure(long nowMillis) {
    lastMillis = Math.max(0, nowMillis - startMillis);
    double weight = lastMillis > latencyMillis ? RISE_WEIGHT : FALL_WEIGHT;
    latencyMillis += weight * (lastMillis - latencyMillis);
  }

  /** Returns the earliest start of the next append. */
  long nextMillis() {
    return nextMillis;
  }

  /** Returns the time of the last append. */
  long lastMillis() {
    return lastMillis;
  }
}
