package org.persimmonloom.runtime.workflow;

/**
 * Limits the number of log lines of one kind, so that a flood of requests does not become a flood
 * of lines. Safe for any thread.
 */
final class LogLimit {
  private static final long WINDOW_MILLIS = 1_000;

  private final int linesPerWindow;
  private long windowStartMillis = Long.MIN_VALUE / 2;
  private int lines;
  private long suppressed;

  /**
   * Creates a limit.
   *
   * @param linesPerSecond maximum number of lines in a second
   */
  LogLimit(int linesPerSecond) {
    linesPerWindow = linesPerSecond;
  }

  /** Returns whether a line may be written at the monotonic time, in ms. */
  synchronized boolean mayLog(long nowMillis) {
    if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowStartMillis = nowMillis;
      lines = 0;
    }
    if (lines < linesPerWindow) {
      lines++;
      return true;
    }
    suppressed++;
    return false;
  }

  /** Returns the number of lines that were not written, and counts from 0 again. */
  synchronized long takeSuppressed() {
    long taken = suppressed;
    suppressed = 0;
    return taken;
  }
}
