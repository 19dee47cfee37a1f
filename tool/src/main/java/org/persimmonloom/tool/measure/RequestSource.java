package org.persimmonloom.tool.measure;

import java.util.Random;
import org.persimmonloom.core.routing.WorkClass;

/** Draws requests: mostly short ones, and a few that run many times longer. */
final class RequestSource {
  private static final double LONG_SHARE = 0.02;
  private static final double LONG_MEDIAN_MILLIS = 2_000;
  private static final double LONG_SIGMA = 0.4;
  private static final double[] SHORT_MEDIANS_MILLIS = {20, 40, 60, 80};
  private static final double SHORT_SIGMA = 0.4;

  /** Requests of short routes that run far longer than their route. */
  private static final double OUTLIER_SHARE = 0.002;

  private static final double OUTLIER_FACTOR = 20;
  private static final double WRONG_HINT_SHARE = 0.2;

  private final Random random;
  private long ids;

  RequestSource(Random random) {
    this.random = random;
  }

  /** Returns the mean run time in milliseconds. */
  static double meanRunMillis() {
    double shortMedian = 0;
    for (double median : SHORT_MEDIANS_MILLIS) {
      shortMedian += median / SHORT_MEDIANS_MILLIS.length;
    }
    double shortMean = shortMedian * Math.exp(SHORT_SIGMA * SHORT_SIGMA / 2);
    double withOutliers = shortMean * (1 + OUTLIER_SHARE * (OUTLIER_FACTOR - 1));
    double longMean = LONG_MEDIAN_MILLIS * Math.exp(LONG_SIGMA * LONG_SIGMA / 2);
    return (1 - LONG_SHARE) * withOutliers + LONG_SHARE * longMean;
  }

  /** Returns the time to the next request of a service in microseconds. */
  long gapMicros(double requestsPerSecond) {
    return Math.round(-Math.log(1 - random.nextDouble()) * 1e6 / requestsPerSecond);
  }

  SimulatedRequest next(int service, long nowMicros) {
    boolean isLong = random.nextDouble() < LONG_SHARE;
    int number = random.nextInt(SHORT_MEDIANS_MILLIS.length);
    double median = isLong ? LONG_MEDIAN_MILLIS : SHORT_MEDIANS_MILLIS[number];
    double sigma = isLong ? LONG_SIGMA : SHORT_SIGMA;
    double millis = median * Math.exp(sigma * random.nextGaussian());
    if (!isLong && random.nextDouble() < OUTLIER_SHARE) {
      millis *= OUTLIER_FACTOR;
    }
    String route = isLong ? "POST /service/audit" : "GET /service/" + number;
    boolean isHintWrong = random.nextDouble() < WRONG_HINT_SHARE;
    WorkClass hint = isLong != isHintWrong ? WorkClass.LONG : WorkClass.SHORT;
    long runMicros = Math.max(1, Math.round(millis * 1_000));
    return new SimulatedRequest(ids++, service, route, hint, runMicros, isLong, nowMicros);
  }
}
