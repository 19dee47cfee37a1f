package org.persimmonloom.core.capacity;

/**
 * Demand of one pool over an interval, as given by one usage report.
 *
 * @param fromMillis start of the interval, inclusive
 * @param toMillis end of the interval, exclusive
 * @param slots mean number of slots needed by the work that arrived in the interval
 */
public record DemandSample(long fromMillis, long toMillis, double slots) {
  public DemandSample {
    if (toMillis <= fromMillis || !(slots >= 0) || Double.isInfinite(slots)) {
      throw new IllegalArgumentException(
          "invalid demand sample from "
              + fromMillis
              + " to "
              + toMillis
              + " ms of "
              + slots
              + " slots");
    }
  }

  /** Returns the length of the interval in milliseconds. */
  public long lengthMillis() {
    return toMillis - fromMillis;
  }

  /** Returns the middle of the interval in milliseconds. */
  public double middleMillis() {
    return (fromMillis + toMillis) / 2.0;
  }
}
