package org.persimmonloom.core.capacity;

import java.util.Comparator;
import java.util.List;

/**
 * Separates the trend of demand from its bursts.
 *
 * <p>The window is read through two overlapping bell-shaped weightings, one centred at a third of
 * the window and one at two thirds. A bell gives each whole rotation of the queues about the same
 * weight wherever it lies, so that the result depends little on whether the window begins in the
 * middle of a burst; a plain mean or a straight-line fit swings with each burst that enters or
 * leaves. The difference of the two means is the slope. The trend is carried forward to the horizon
 * with the slope damped, because the daily shape bends and a full extrapolation overshoots. The
 * peak is the 95th percentile of the reports.
 *
 * <p>The standard error comes from the scatter of six block means around the line. Pure and
 * deterministic; safe for any thread.
 */
public final class DemandForecaster {
  private static final int BLOCKS = 6;
  private static final double PEAK_QUANTILE = 0.95;

  /** Half of the slope is believed; with all of it the trend overshoots at the top of a day. */
  private static final double SLOPE_DAMPING = 0.5;

  private final CapacitySettings settings;

  /** Creates a forecaster with these times. */
  public DemandForecaster(CapacitySettings settings) {
    this.settings = settings;
  }

  /** Returns the forecast for one move after {@code nowMillis}. */
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
    double early = bellMean(samples, start, start + span * 2 / 3);
    double late = bellMean(samples, start + span / 3, end);
    double slope = (late - early) / (span / 3);
    double ahead = span / 3 + (nowMillis - end) + settings.moveMillis();
    double trend = Math.max(0, late + SLOPE_DAMPING * slope * ahead);
    long known = samples.stream().mapToLong(DemandSample::lengthMillis).sum();
    return new DemandForecast(
        trend,
        quantile(samples, known),
        slope * 60_000,
        standardError(samples, start, span),
        known / (double) settings.windowMillis(),
        nowMillis - end);
  }

  private static double bellMean(List<DemandSample> samples, double from, double to) {
    double sum = 0;
    double weights = 0;
    for (DemandSample sample : samples) {
      double place = (sample.middleMillis() - from) / (to - from);
      if (place > 0 && place < 1) {
        double weight = sample.lengthMillis() * Math.pow(Math.sin(Math.PI * place), 2);
        sum += weight * sample.slots();
        weights += weight;
      }
    }
    return weights > 0 ? sum / weights : plainMean(samples);
  }

  private static double plainMean(List<DemandSample> samples) {
    return samples.stream().mapToDouble(DemandSample::slots).average().orElse(0);
  }

  private static double quantile(List<DemandSample> samples, long known) {
    List<DemandSample> sorted =
        samples.stream().sorted(Comparator.comparingDouble(DemandSample::slots)).toList();
    double seen = 0;
    for (DemandSample sample : sorted) {
      seen += sample.lengthMillis();
      if (seen >= PEAK_QUANTILE * known) {
        return sample.slots();
      }
    }
    return sorted.get(sorted.size() - 1).slots();
  }

  /**
   * Returns the scatter of block means around the line through them, over the root of the count.
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
      return plainMean(samples);
    }
    double varianceX = sumXx - sumX * sumX / count;
    double covariance = sumXy - sumX * sumY / count;
    double residual = sumYy - sumY * sumY / count - covariance * covariance / varianceX;
    return Math.sqrt(Math.max(0, residual) / (count - 2) / count);
  }
}
