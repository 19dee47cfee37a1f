package org.persimmonloom.core.routing;

/**
 * What the results of attempts say about one endpoint.
 *
 * <p>States: healthy; ejected until a time, with no requests; on probation after that time, with
 * one probe request at a time, until enough of them succeed. Not thread-safe. Times are in
 * milliseconds since the epoch.
 */
final class EndpointHealth {
  /** An endpoint that fails 30 % of its requests fails so many in a row once in 22,000. */
  static final int CONSECUTIVE_FAILURES = 8;

  static final int PROBES_TO_READMIT = 3;
  static final long FIRST_EJECTION_MILLIS = 5_000;
  static final long MAX_EJECTION_MILLIS = 300_000;

  /** High, since an endpoint that answers a part of its requests is better than a smaller pool. */
  private static final double FAILURE_SHARE = 0.8;

  private static final int MIN_RESULTS_FOR_SHARE = 20;
  private static final double SHARE_GAIN = 0.05;

  /** An endpoint that was healthy for this long starts again with the first ejection time. */
  private static final long FORGIVEN_AFTER_MILLIS = 600_000;

  private int consecutiveFailures;
  private int results;
  private double failureShare;
  private int ejections;
  private long ejectedUntilMillis;
  private boolean isOut;
  private int probeSuccesses;

  /** Returns whether the endpoint is ejected or on probation. */
  boolean isOut() {
    return isOut;
  }

  boolean isProbing(long nowMillis) {
    return isOut && nowMillis >= ejectedUntilMillis;
  }

  /** Returns how many of {@code share} slots may be in use now. */
  int allowance(int share, long nowMillis) {
    if (!isOut) {
      return share;
    }
    return nowMillis < ejectedUntilMillis ? 0 : Math.min(share, 1);
  }

  void succeeded() {
    consecutiveFailures = 0;
    countResult(0);
    if (isOut && ++probeSuccesses >= PROBES_TO_READMIT) {
      readmit();
    }
  }

  /** Ends the ejection and forgets the results that led to it. */
  void readmit() {
    isOut = false;
    consecutiveFailures = 0;
    results = 0;
    failureShare = 0;
  }

  long ejectedUntilMillis() {
    return ejectedUntilMillis;
  }

  /** Notes a failure; returns whether the endpoint deserves to be ejected. */
  boolean failed() {
    consecutiveFailures++;
    countResult(1);
    return consecutiveFailures >= CONSECUTIVE_FAILURES
        || (results >= MIN_RESULTS_FOR_SHARE && failureShare > FAILURE_SHARE);
  }

  void eject(long nowMillis) {
    if (nowMillis - ejectedUntilMillis > FORGIVEN_AFTER_MILLIS) {
      ejections = 0;
    }
    long millis = FIRST_EJECTION_MILLIS << Math.min(ejections, 10);
    ejections++;
    ejectedUntilMillis = nowMillis + Math.min(MAX_EJECTION_MILLIS, millis);
    isOut = true;
    probeSuccesses = 0;
  }

  private void countResult(int failure) {
    results++;
    failureShare += Math.max(SHARE_GAIN, 1.0 / results) * (failure - failureShare);
  }
}
