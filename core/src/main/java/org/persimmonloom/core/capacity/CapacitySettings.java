package org.persimmonloom.core.capacity;

/**
 * Parameters of the capacity policy. Times are in milliseconds.
 *
 * @param windowMillis span of demand reports from which the trend is computed; it must span several
 *     bursts of every queue, otherwise a single burst is taken for a trend
 * @param maxLagMillis age of the last usage report above which a pool neither gives nor receives
 *     hosts
 * @param minCoverage share of the window that reports must cover, from 0 to 1
 * @param moveMillis usual time from the start of a move until the host serves the new pool
 */
public record CapacitySettings(
    long windowMillis, long maxLagMillis, double minCoverage, long moveMillis) {
  /** Defaults for moves that take about four minutes and bursts of a few seconds. */
  public static final CapacitySettings DEFAULT =
      new CapacitySettings(15 * 60_000L, 60_000L, 0.7, 4 * 60_000L);

  public CapacitySettings {
    if (windowMillis < moveMillis || moveMillis <= 0) {
      throw new IllegalArgumentException(
          "window of " + windowMillis + " ms is shorter than a move of " + moveMillis + " ms");
    }
  }
}
