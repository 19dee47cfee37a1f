package org.persimmonloom.tool.standin;

/**
 * The faults of a {@link LogStandIn}, each switchable at run time. Safe for any thread.
 *
 * <p>All start switched off. Times are in milliseconds.
 */
public final class LogFaults {
  private volatile long appendLatencyMillis;
  private volatile boolean isOut;
  private volatile boolean losesAnswers;
  private volatile int appendsPerSecond = 400;

  /** Delays each append before it takes effect; a large value makes slow appends. */
  public void setAppendLatencyMillis(long millis) {
    appendLatencyMillis = millis;
  }

  /** Refuses every append and read; a refused append has no effect. */
  public void setOutage(boolean out) {
    isOut = out;
  }

  /** Lets appends take effect but fails their answers. */
  public void setLosesAnswers(boolean loses) {
    losesAnswers = loses;
  }

  /** Sets how many appends each second may take effect; more are refused without effect. */
  public void setAppendsPerSecond(int limit) {
    appendsPerSecond = limit;
  }

  long appendLatencyMillis() {
    return appendLatencyMillis;
  }

  boolean isOut() {
    return isOut;
  }

  boolean losesAnswers() {
    return losesAnswers;
  }

  int appendsPerSecond() {
    return appendsPerSecond;
  }
}
