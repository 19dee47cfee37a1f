package org.persimmonloom.core.routing;

import java.util.random.RandomGenerator;

/**
 * Exponential delay before a retry, with jitter so that failed requests are not retried at the same
 * time.
 */
public final class RetryBackoff {
  static final long BASE_MILLIS = 20;
  static final long MAX_MILLIS = 1_000;
  private static final int MAX_DOUBLINGS = 10;

  private RetryBackoff() {}

  /**
   * Returns the delay in milliseconds before an attempt, uniformly distributed between half of the
   * bound of that attempt and the bound.
   *
   * @param attempt 1 for the first retry
   */
  public static long delayMillis(int attempt, RandomGenerator random) {
    int doublings = Math.max(0, Math.min(MAX_DOUBLINGS, attempt - 1));
    long bound = Math.min(MAX_MILLIS, BASE_MILLIS << doublings);
    return bound / 2 + random.nextLong(bound / 2 + 1);
  }
}
