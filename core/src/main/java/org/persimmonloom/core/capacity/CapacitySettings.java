package org.persimmonloom.core.capacity;

/**
 * Times that the capacity policy depends on, in milliseconds.
 *
 * @param windowMillis span of demand that the trend is read from; it must hold several bursts of
 *     every queue, otherwise a burst looks like a trend
 * @param maxLagMillis age of the last usage report above which a pool is neither donor nor target
 * @param minCoverage share of the window that must have reports
 * @param moveMillis usual time from the start of a move until the host serves the new pool
 */
public record CapacitySettings(
    long windowMillis, long maxLagMillis, double minCoverage, long moveMillis) {
  /** Settings for moves of about four minutes and bursts of some seconds. */
  public static final CapacitySettings DEFAULT =
      new CapacitySettings(15 * 60_000L, 60_000L, 0.7, 4 * 60_000L);

  public CapacitySettings {
    if (windowMillis < moveMillis || moveMillis <= 0) {
      throw new IllegalArgumentException(
          "window of " + windowMillis + " ms is shorter than a move of " + moveMillis + " ms");
    }
  }
}
