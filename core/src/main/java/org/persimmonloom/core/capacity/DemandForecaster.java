package org.persimmonloom.core.capacity;

import java.util.Comparator;
import java.util.List;

/**
 * Separates the trend of demand from its bursts.
 *
 * <p>The mean demand is computed under two overlapping Hann windows, one centred at a third of the
 * observation window and one at two thirds. A Hann window gives each whole rotation of the queues
 * about the same weight wherever it lies, so the result depends little on whether the observation
 * window begins in the middle of a burst; a plain mean or a straight-line fit changes with each
 * burst that enters or leaves. The difference of the two means gives the slope. The trend is
 * extrapolated to the horizon with a damped slope, because the daily curve bends and a full
 * extrapolation overshoots. The peak is the 95th percentile of the reports, weighted by their
 * length.
 *
 * <p>The standard error is that of a linear fit through the means of six equal blocks. Pure and
 * deterministic; safe for any thread.
 */
public final class DemandForecaster {
  private static final int BLOCKS = 6;
  private static final double PEAK_QUANTILE = 0.95;

  /** Extrapolating with the full slope overshoots at the daily maximum. */
  private static final double SLOPE_DAMPING = 0.5;

  private final CapacitySettings settings;

  /** Creates a forecaster with these settings. */
  public DemandForecaster(CapacitySettings settings) {
    this.settings = settings;
  }

  /** Returns the forecast for the end of a move that starts at {@code nowMillis}. */
  public DemandForecast forecast(List<DemandSample> history, long nowMillis) {
    long start = nowMillis - settings.windowMillis();
    List<DemandSample> samples =
        history.stream()
            .filter(sample -> sample.fromMillis() >= start && sample.toMillis() <= nowMillis)
            .toList();
    if (samples.isEmpty()) {
      return DemandForecast.UNKNOWN;
    }
    long end = samples.stream().mapToLong(DemandSample::toMillis).max().orElse(nowMillis);
    double span = end - start;
    double early = hannMean(samples, start, start + span * 2 / 3);
    double late = hannMean(samples, start + span / 3, end);
    double slope = (late - early) / (span / 3);
    double horizonMillis = span / 3 + (nowMillis - end) + settings.moveMillis();
    double trend = Math.max(0, late + SLOPE_DAMPING * slope * horizonMillis);
    long coveredMillis = samples.stream().mapToLong(DemandSample::lengthMillis).sum();
    return new DemandForecast(
        trend,
        quantile(samples, coveredMillis),
        slope * 60_000,
        standardError(samples, start, span),
        coveredMillis / (double) settings.windowMillis(),
        nowMillis - end);
  }

  private static double hannMean(List<DemandSample> samples, double from, double to) {
    double sum = 0;
    double weights = 0;
    for (DemandSample sample : samples) {
      double position = (sample.middleMillis() - from) / (to - from);
      if (position > 0 && position < 1) {
        double weight = sample.lengthMillis() * Math.pow(Math.sin(Math.PI * position), 2);
        sum += weight * sample.slots();
        weights += weight;
      }
    }
    return weights > 0 ? sum / weights : mean(samples);
  }

  private static double mean(List<DemandSample> samples) {
    return samples.stream().mapToDouble(DemandSample::slots).average().orElse(0);
  }

  private static double quantile(List<DemandSample> samples, long coveredMillis) {
    List<DemandSample> sorted =
        samples.stream().sorted(Comparator.comparingDouble(DemandSample::slots)).toList();
    double cumulativeMillis = 0;
    for (DemandSample sample : sorted) {
      cumulativeMillis += sample.lengthMillis();
      if (cumulativeMillis >= PEAK_QUANTILE * coveredMillis) {
        return sample.slots();
      }
    }
    return sorted.get(sorted.size() - 1).slots();
  }

  /**
   * Returns the residual standard deviation of the block means around the line fitted through them,
   * divided by the square root of the number of blocks. With fewer than three blocks it returns the
   * mean demand.
   */
  private static double standardError(List<DemandSample> samples, double start, double span) {
    double[] sums = new double[BLOCKS];
    double[] lengths = new double[BLOCKS];
    for (DemandSample sample : samples) {
      int block = (int) Math.min(BLOCKS - 1, (sample.middleMillis() - start) / span * BLOCKS);
      sums[block] += sample.slots() * sample.lengthMillis();
      lengths[block] += sample.lengthMillis();
    }
    double count = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    double sumYy = 0;
    for (int x = 0; x < BLOCKS; x++) {
      if (lengths[x] > 0) {
        double y = sums[x] / lengths[x];
        count++;
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
        sumYy += y * y;
      }
    }
    if (count < 3) {
      return mean(samples);
    }
    double varianceX = sumXx - sumX * sumX / count;
    double covariance = sumXy - sumX * sumY / count;
    double residual = sumYy - sumY * sumY / count - covariance * covariance / varianceX;
    return Math.sqrt(Math.max(0, residual) / (count - 2) / count);
  }
}
