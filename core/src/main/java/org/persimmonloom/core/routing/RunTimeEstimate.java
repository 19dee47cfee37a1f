package org.persimmonloom.core.routing;

/**
 * Exponentially decayed statistics of the run times of one route: the mean, used to estimate slot
 * time; the geometric mean, used as the typical run time; and the share of runs above the short
 * limit, which decides the class.
 *
 * <p>The typical run time is a geometric mean because a few runs many times longer than the rest
 * raise the arithmetic mean far above what most requests need. Not thread-safe. Times are in
 * milliseconds.
 */
final class RunTimeEstimate {
  /**
   * Gives weight to about the last 20 runs, so that the estimate follows a changed run time within
   * tens of requests.
   */
  private static final double MIN_GAIN = 0.05;

  /**
   * The class changes with hysteresis, so that a route of mixed run times does not alternate
   * between the classes.
   */
  private static final double LONG_ABOVE_SHARE = 0.3;

  private static final double SHORT_BELOW_SHARE = 0.15;

  private int sampleCount;
  private boolean hasCompleteRun;
  private double meanMillis;
  private double logMean;
  private double longShare;
  private WorkClass workClass = WorkClass.SHORT;
  private long learnedMillis = Long.MIN_VALUE;

  boolean isEmpty() {
    return sampleCount == 0;
  }

  double meanMillis() {
    return meanMillis;
  }

  double typicalMillis() {
    return Math.expm1(logMean);
  }

  WorkClass workClass() {
    return workClass;
  }

  /**
   * Returns the time when a run was last learned, or when a request was last admitted despite a
   * stale estimate.
   */
  long learnedMillis() {
    return learnedMillis;
  }

  void setLearnedMillis(long nowMillis) {
    learnedMillis = nowMillis;
  }

  /** Returns whether any learned run was complete; otherwise all learned times are lower bounds. */
  boolean hasCompleteRun() {
    return hasCompleteRun;
  }

  /** Learns a complete run. */
  void learn(long runMillis, long shortLimitMillis, long nowMillis) {
    hasCompleteRun = true;
    learnLowerBound(runMillis, shortLimitMillis, nowMillis);
  }

  /** Learns a run that took at least the given time. */
  void learnLowerBound(long runMillis, long shortLimitMillis, long nowMillis) {
    sampleCount++;
    double gain = Math.max(MIN_GAIN, 1.0 / sampleCount);
    double observedMillis = Math.max(0, runMillis);
    meanMillis += gain * (observedMillis - meanMillis);
    logMean += gain * (Math.log1p(observedMillis) - logMean);
    longShare += gain * ((observedMillis > shortLimitMillis ? 1 : 0) - longShare);
    if (longShare >= LONG_ABOVE_SHARE) {
      workClass = WorkClass.LONG;
    } else if (longShare <= SHORT_BELOW_SHARE) {
      workClass = WorkClass.SHORT;
    }
    learnedMillis = nowMillis;
  }
}
