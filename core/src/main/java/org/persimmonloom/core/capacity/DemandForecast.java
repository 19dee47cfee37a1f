package org.persimmonloom.core.capacity;

/**
 * Forecast of the demand of one pool. All demands are in slots.
 *
 * @param trend demand expected without bursts once a move that starts now has ended
 * @param peak 95th percentile of the demand in the window; represents the height of a burst
 * @param slopePerMinute change of the trend, in slots per minute
 * @param error standard error of the trend
 * @param coverage share of the window for which there are reports, from 0 to 1
 * @param lagMillis time since the end of the last report, in milliseconds
 */
public record DemandForecast(
    double trend,
    double peak,
    double slopePerMinute,
    double error,
    double coverage,
    long lagMillis) {
  /** Forecast of a pool without any report. */
  public static final DemandForecast UNKNOWN = new DemandForecast(0, 0, 0, 0, 0, Long.MAX_VALUE);

  /** Returns the part of the peak that the trend does not explain, in slots. */
  public double burst() {
    return Math.max(0, peak - trend);
  }
}
