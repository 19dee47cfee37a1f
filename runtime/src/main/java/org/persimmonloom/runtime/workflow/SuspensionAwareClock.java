package org.persimmonloom.runtime.workflow;

import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock in milliseconds that never goes back and also counts the time for which the host was
 * suspended, during which its monotonic clock stands still.
 *
 * <p>A wall clock that jumps forward counts as a suspension: what was known before looks older than
 * it is. One that is set back has no effect. Safe for any thread.
 */
final class SuspensionAwareClock implements LongSupplier {
  /** A smaller change between the clocks is the resolution of their readings or a slew. */
  private static final long LEAST_CHANGE_MILLIS = 50;

  private final LongSupplier monotonicClock;
  private final InstantSource wallClock;
  private long suspendedMillis;
  private long lastOffsetMillis;

  SuspensionAwareClock(LongSupplier monotonicClock, InstantSource wallClock) {
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    lastOffsetMillis = wallClock.millis() - monotonicClock.getAsLong();
  }

  @Override
  public synchronized long getAsLong() {
    long monotonicMillis = monotonicClock.getAsLong();
    long offsetMillis = wallClock.millis() - monotonicMillis;
    long changeMillis = offsetMillis - lastOffsetMillis;
    if (Math.abs(changeMillis) >= LEAST_CHANGE_MILLIS) {
      suspendedMillis += Math.max(0, changeMillis);
      lastOffsetMillis = offsetMillis;
    }
    return monotonicMillis + suspendedMillis;
  }
}
