package org.persimmonloom.core.routing;

/**
 * Bounds retries to a tenth of the requests, plus a small minimum that lets a service of few
 * requests retry at all.
 *
 * <p>Without the bound, retries multiply the load just when endpoints fail from overload. Over any
 * period that starts with the object, retries are at most {@code 0.1 * requests + 3 + 0.3 *
 * seconds}. Not thread-safe.
 */
final class RetryBudget {
  /**
   * Counted in whole parts of a retry: sums of a binary 0.1 fall short of whole retries, and a
   * refill of less than one part would be lost on each call.
   */
  private static final long ONE_RETRY = 10_000;

  private static final long PER_REQUEST = ONE_RETRY / 10;
  private static final long MINIMUM = 3 * ONE_RETRY;
  private static final long MINIMUM_PER_MILLI = 3;

  /** Savings of a quiet period must not allow a burst of retries that a short failure outlives. */
  private static final long MAXIMUM = 50 * ONE_RETRY;

  private long balance = MINIMUM;
  private long refilledMillis = Long.MIN_VALUE;

  /** Notes one first attempt. */
  void noteRequest() {
    balance = Math.min(MAXIMUM, balance + PER_REQUEST);
  }

  boolean tryTake(long nowMillis) {
    refill(nowMillis);
    if (balance < ONE_RETRY) {
      return false;
    }
    balance -= ONE_RETRY;
    return true;
  }

  private void refill(long nowMillis) {
    if (refilledMillis != Long.MIN_VALUE && nowMillis > refilledMillis) {
      long refilled = balance + (nowMillis - refilledMillis) * MINIMUM_PER_MILLI;
      balance = Math.max(balance, Math.min(MINIMUM, refilled));
    }
    refilledMillis = Math.max(refilledMillis, nowMillis);
  }
}
