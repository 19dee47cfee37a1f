package org.persimmonloom.runtime.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of request and response bodies that are held at once. Safe for any thread. */
final class MemoryBudget {
  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Takes the bytes if the limit allows. */
  boolean tryReserve(long bytes) {
    if (usedBytes.addAndGet(bytes) > limitBytes) {
      usedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Takes the bytes of a response that has arrived, even beyond the limit. */
  void reserve(long bytes) {
    usedBytes.addAndGet(bytes);
  }

  void release(long bytes) {
    usedBytes.addAndGet(-bytes);
  }
}
