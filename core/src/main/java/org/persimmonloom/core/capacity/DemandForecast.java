package org.persimmonloom.core.capacity;

/**
 * What is known of the demand of one pool. All demands are in slots.
 *
 * @param trend demand expected at the horizon, without bursts
 * @param peak demand that is exceeded in a twentieth of the window; bursts reach it
 * @param slopePerMinute change of the trend
 * @param error standard error of the trend
 * @param coverage share of the window for which there are reports, from 0 to 1
 * @param lagMillis age of the end of the last report
 */
public record DemandForecast(
    double trend,
    double peak,
    double slopePerMinute,
    double error,
    double coverage,
    long lagMillis) {
  /** No report is known. */
  public static final DemandForecast UNKNOWN = new DemandForecast(0, 0, 0, 0, 0, Long.MAX_VALUE);

  /** Returns the part of the peak that the trend does not explain, in slots. */
  public double burst() {
    return Math.max(0, peak - trend);
  }
}
