package org.persimmonloom.core.routing;

/**
 * Health of one endpoint, derived from the results of attempts at it.
 *
 * <p>An endpoint is healthy, ejected or on probation. An ejected endpoint gets no requests until
 * its ejection time is over. It is then on probation and gets one probe request at a time until
 * {@link #PROBES_TO_READMIT} of them have succeeded. Not thread-safe. Times are in milliseconds
 * since the epoch.
 */
final class EndpointHealth {
  /**
   * An endpoint that fails 30 % of its requests has this many consecutive failures about once in
   * 22,000 requests.
   */
  static final int CONSECUTIVE_FAILURES_TO_EJECT = 8;

  static final int PROBES_TO_READMIT = 3;
  static final long FIRST_EJECTION_MILLIS = 5_000;
  static final long MAX_EJECTION_MILLIS = 300_000;

  /** High, because an endpoint that serves part of its requests is better than a smaller pool. */
  private static final double MAX_FAILURE_RATE = 0.8;

  private static final int MIN_RESULTS_FOR_RATE = 20;
  private static final double FAILURE_RATE_GAIN = 0.05;

  /**
   * After this time since the end of the last ejection, the next one starts again with {@link
   * #FIRST_EJECTION_MILLIS}.
   */
  private static final long EJECTION_RESET_MILLIS = 600_000;

  private int consecutiveFailures;
  private int resultCount;
  private double failureRate;
  private int ejections;
  private long ejectedUntilMillis;
  private boolean isUnhealthy;
  private int probeSuccesses;

  /** Returns whether the endpoint is ejected or on probation. */
  boolean isUnhealthy() {
    return isUnhealthy;
  }

  boolean isProbing(long nowMillis) {
    return isUnhealthy && nowMillis >= ejectedUntilMillis;
  }

  /** Returns how many of the {@code share} slots may be in use now. */
  int slotLimit(int share, long nowMillis) {
    if (!isUnhealthy) {
      return share;
    }
    return nowMillis < ejectedUntilMillis ? 0 : Math.min(share, 1);
  }

  void recordSuccess() {
    consecutiveFailures = 0;
    updateFailureRate(0);
    if (isUnhealthy && ++probeSuccesses >= PROBES_TO_READMIT) {
      readmit();
    }
  }

  /** Ends the ejection or probation and discards the results counted so far. */
  void readmit() {
    isUnhealthy = false;
    consecutiveFailures = 0;
    resultCount = 0;
    failureRate = 0;
  }

  long ejectedUntilMillis() {
    return ejectedUntilMillis;
  }

  /** Records a failure; returns whether the endpoint now meets a condition for ejection. */
  boolean recordFailure() {
    consecutiveFailures++;
    updateFailureRate(1);
    return consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT
        || (resultCount >= MIN_RESULTS_FOR_RATE && failureRate > MAX_FAILURE_RATE);
  }

  void eject(long nowMillis) {
    if (nowMillis - ejectedUntilMillis > EJECTION_RESET_MILLIS) {
      ejections = 0;
    }
    long millis = FIRST_EJECTION_MILLIS << Math.min(ejections, 10);
    ejections++;
    ejectedUntilMillis = nowMillis + Math.min(MAX_EJECTION_MILLIS, millis);
    isUnhealthy = true;
    probeSuccesses = 0;
  }

  private void updateFailureRate(int failure) {
    resultCount++;
    failureRate += Math.max(FAILURE_RATE_GAIN, 1.0 / resultCount) * (failure - failureRate);
  }
}
