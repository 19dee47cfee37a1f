package org.persimmonloom.core.routing;

/**
 * What the resultCount of attempts say about one endpoint.
 *
 * <p>States: healthy; ejected until a time, with no requests; on probation after that time, with
 * one probe request at a time, until enough of them succeed. Not thread-safe. Times are in
 * milliseconds since the epoch.
 */
final class EndpointHealth {
  /** An endpoint that fails 30 % of its requests fails so many in a row once in 22,000. */
  static final int CONSECUTIVE_FAILURES_TO_EJECT = 8;

  static final int PROBES_TO_READMIT = 3;
  static final long FIRST_EJECTION_MILLIS = 5_000;
  static final long MAX_EJECTION_MILLIS = 300_000;

  /** High, since an endpoint that answers a part of its requests is better than a smaller pool. */
  private static final double MAX_FAILURE_RATE = 0.8;

  private static final int MIN_RESULTS_FOR_RATE = 20;
  private static final double FAILURE_RATE_GAIN = 0.05;

  /** An endpoint that was healthy for this long starts again with the first ejection time. */
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

  /** Returns how many of {@code share} slots may be in use now. */
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

  /** Ends the ejection and forgets the resultCount that led to it. */
  void readmit() {
    isUnhealthy = false;
    consecutiveFailures = 0;
    resultCount = 0;
    failureRate = 0;
  }

  long ejectedUntilMillis() {
    return ejectedUntilMillis;
  }

  /** Notes a failure; returns whether the endpoint deserves to be ejected. */
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
