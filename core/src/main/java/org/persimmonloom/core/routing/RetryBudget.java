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
  private static final long UNITS_PER_RETRY = 10_000;

  private static final long UNITS_PER_REQUEST = UNITS_PER_RETRY / 10;
  private static final long MIN_UNITS = 3 * UNITS_PER_RETRY;
  private static final long REFILL_UNITS_PER_MILLI = 3;

  /** Savings of a quiet period must not allow a burst of retries that a short failure outlives. */
  private static final long MAX_UNITS = 50 * UNITS_PER_RETRY;

  private long balanceUnits = MIN_UNITS;
  private long refilledMillis = Long.MIN_VALUE;

  /** Notes one first attempt. */
  void recordRequest() {
    balanceUnits = Math.min(MAX_UNITS, balanceUnits + UNITS_PER_REQUEST);
  }

  boolean tryTakeRetry(long nowMillis) {
    refill(nowMillis);
    if (balanceUnits < UNITS_PER_RETRY) {
      return false;
    }
    balanceUnits -= UNITS_PER_RETRY;
    return true;
  }

  private void refill(long nowMillis) {
    if (refilledMillis != Long.MIN_VALUE && nowMillis > refilledMillis) {
      long refilled = balanceUnits + (nowMillis - refilledMillis) * REFILL_UNITS_PER_MILLI;
      balanceUnits = Math.max(balanceUnits, Math.min(MIN_UNITS, refilled));
    }
    refilledMillis = Math.max(refilledMillis, nowMillis);
  }
}
