package org.persimmonloom.runtime.workflow;

/**
 * Time since the last renewal of a term, or since the last attempt.
 *
 * <p>It is the longer of the times on two clocks: the monotonic clock stands still while the host
 * is suspended, and the wall clock may be set back. A wall clock that jumps forward makes the
 * renewal look old until the next one. Safe for any thread.
 */
final class RenewalAge {
  /** A renewal at the start of both clocks, so that its age exceeds any limit. */
  private static final Renewal NONE = new Renewal(0, 0);

  private volatile Renewal last = NONE;

  private record Renewal(long monotonicMillis, long wallMillis) {}

  /** Records a renewal that was sent at the given times. */
  void renewed(long monotonicMillis, long wallMillis) {
    last = new Renewal(monotonicMillis, wallMillis);
  }

  /** Forgets the recorded renewal. */
  void clear() {
    last = NONE;
  }

  /** Returns the time since the last renewal was sent, in ms. */
  long millis(long monotonicMillis, long wallMillis) {
    Renewal renewal = last;
    return Math.max(monotonicMillis - renewal.monotonicMillis(), wallMillis - renewal.wallMillis());
  }
}
