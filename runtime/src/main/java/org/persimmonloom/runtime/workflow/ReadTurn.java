package org.persimmonloom.runtime.workflow;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Admits one read of a table at a time, in the order of the calls. Safe for any thread.
 *
 * <p>Reads at the same time would return the same records, and copies of many records fill a small
 * link. Waiting readers see the result of the read before theirs, and need not repeat it.
 */
final class ReadTurn {
  /** A read fails after this time without data. */
  private static final long MAX_WAIT_MILLIS = 1_000;

  private final ReentrantLock lock = new ReentrantLock(true);
  private volatile long failedMillis = Long.MIN_VALUE;

  /** Waits for the turn for a limited time; returns whether the caller has it. */
  boolean tryBegin() {
    try {
      return lock.tryLock(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Ends the caller's turn. */
  void end() {
    lock.unlock();
  }

  /** Records that a read has failed at the monotonic time, in ms. */
  void failed(long nowMillis) {
    failedMillis = nowMillis;
  }

  /** Returns whether a read has failed after the monotonic time, in ms. */
  boolean hasFailedSince(long millis) {
    return failedMillis > millis;
  }
}
