package org.persimmonloom.runtime.workflow;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Notes the results and times of a follower's own reads, which explain the age of its table. One
 * thread reads; any thread may ask for the status.
 */
final class ReadTimer {
  private static final long NO_READ = Long.MIN_VALUE;

  private final LongSupplier clock;
  private volatile long startMillis = NO_READ;
  private volatile String lastResult = "none";
  private volatile long lastMillis;

  /**
   * The follower's own reads. Reads by {@link TableFollower#refresh} are not included.
   *
   * @param lastResult result of the last read that has ended
   * @param lastMillis duration of that read in ms
   * @param inProgressMillis time since the read in progress began, in ms; 0 between reads
   * @param loads number of loads of the whole table
   */
  record Status(String lastResult, long lastMillis, long inProgressMillis, long loads) {
    @Override
    public String toString() {
      return "last_read=%s last_read_ms=%d reading_ms=%d loads=%d"
          .formatted(lastResult, lastMillis, inProgressMillis, loads);
    }
  }

  /**
   * Creates a timer.
   *
   * @param clock monotonic clock in milliseconds
   */
  ReadTimer(LongSupplier clock) {
    this.clock = clock;
  }

  /** Returns the state of the reads at the monotonic time, in ms. */
  Status status(long nowMillis, long loads) {
    long start = startMillis;
    long inProgressMillis = start == NO_READ ? 0 : nowMillis - start;
    return new Status(lastResult, lastMillis, inProgressMillis, loads);
  }

  /** Carries out a read of the follower's thread. */
  LogReadResult timed(Supplier<LogReadResult> read) {
    long start = clock.getAsLong();
    startMillis = start;
    try {
      LogReadResult result = read.get();
      lastResult = describe(result);
      return result;
    } finally {
      lastMillis = clock.getAsLong() - start;
      startMillis = NO_READ;
    }
  }

  private static String describe(LogReadResult result) {
    if (result instanceof LogReadResult.Records records) {
      return "records:" + records.records().size();
    }
    return result instanceof LogReadResult.Unavailable unavailable
        ? "unavailable:" + unavailable.reason().replace(' ', '_')
        : "expired";
  }
}
