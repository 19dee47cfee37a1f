package org.persimmonloom.core.capacity;

/**
 * Demand of one pool over an interval, as one usage report states it.
 *
 * @param fromMillis start of the interval, included
 * @param toMillis end of the interval, excluded
 * @param slots mean number of slots that the work which arrived in the interval needs
 */
public record DemandSample(long fromMillis, long toMillis, double slots) {
  public DemandSample {
    if (toMillis <= fromMillis || !(slots >= 0) || Double.isInfinite(slots)) {
      throw new IllegalArgumentException(
          "demand sample from " + fromMillis + " to " + toMillis + " ms of " + slots + " slots");
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
