package org.persimmonloom.core.routing;

/**
 * Limits retries to a tenth of the requests, plus a small minimum for services with few requests.
 *
 * <p>Without the limit, retries would multiply the load when endpoints fail from overload. From the
 * creation of the object until any later time, there are at most {@code 0.1 * requests + 3 + 0.3 *
 * seconds} retries. Not thread-safe.
 */
final class RetryBudget {
  /**
   * The balance is an integer number of fractions of a retry: floating-point sums of 0.1 fall short
   * of whole retries, and a coarser unit would lose the refill of a short interval on each call.
   */
  private static final long UNITS_PER_RETRY = 10_000;

  private static final long UNITS_PER_REQUEST = UNITS_PER_RETRY / 10;

  /** Initial balance, and the balance up to which it is refilled over time. */
  private static final long REFILL_LIMIT_UNITS = 3 * UNITS_PER_RETRY;

  private static final long REFILL_UNITS_PER_MILLI = 3;

  /** Bounds the burst of retries that a failure can cause after a long period without retries. */
  private static final long MAX_UNITS = 50 * UNITS_PER_RETRY;

  private long balanceUnits = REFILL_LIMIT_UNITS;
  private long refilledMillis = Long.MIN_VALUE;

  /** Adds the share of one first attempt to the budget. */
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
      balanceUnits = Math.max(balanceUnits, Math.min(REFILL_LIMIT_UNITS, refilled));
    }
    refilledMillis = Math.max(refilledMillis, nowMillis);
  }
}
