package org.persimmonloom.runtime.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of request and response bodies in memory. Safe for any thread. */
final class MemoryBudget {
  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves the bytes; returns false if that would exceed the limit. */
  boolean tryReserve(long bytes) {
    if (usedBytes.addAndGet(bytes) > limitBytes) {
      usedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Reserves the bytes of a received response, even beyond the limit. */
  void reserve(long bytes) {
    usedBytes.addAndGet(bytes);
  }

  void release(long bytes) {
    usedBytes.addAndGet(-bytes);
  }
}
