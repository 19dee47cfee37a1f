package org.persimmonloom.core.routing;

/**
 * Decayed statistics of the run times of one route: the mean for throughput, the geometric mean as
 * the typical run time, and the share of runs above the short limit for the class.
 *
 * <p>The geometric mean is kept because a few runs many times longer than the rest pull the
 * arithmetic mean far above what most requests need. Not thread-safe. Times are in milliseconds.
 */
final class RunTimeEstimate {
  /** About the last 20 runs count, so that a changed route is learned within tens of requests. */
  private static final double MIN_GAIN = 0.05;

  /** Two thresholds, so that a route of mixed run times does not alternate between the classes. */
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

  /** When a run was last learned, or a probe of an old estimate was last admitted. */
  long learnedMillis() {
    return learnedMillis;
  }

  void setLearnedMillis(long nowMillis) {
    learnedMillis = nowMillis;
  }

  /** Returns whether any run was complete; otherwise all known times are only lower bounds. */
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
