package org.persimmonloom.tool.demo;

/**
 * Demand that rotates between queues: each in turn gets five times its mean for a turn, and a
 * twentieth of it in between. Immutable and safe for any thread.
 *
 * @param services number of queues
 * @param meanPerSecond mean demand of one queue, in requests a second
 * @param turnMillis length of a turn
 */
public record DemandSchedule(int services, double meanPerSecond, long turnMillis) {
  private static final double PEAK = 5;
  private static final double TROUGH = 0.05;

  /** Returns the queue that is at its peak. */
  public int peak(long elapsedMillis) {
    return (int) (elapsedMillis / turnMillis % services);
  }

  /** Returns the demand of a queue in requests a second. */
  public double perSecond(int service, long elapsedMillis) {
    return meanPerSecond * (peak(elapsedMillis) == service ? PEAK : TROUGH);
  }
}
