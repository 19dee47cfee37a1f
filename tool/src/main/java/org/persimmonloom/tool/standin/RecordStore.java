package org.persimmonloom.tool.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import org.persimmonloom.runtime.log.LogPage;

/**
 * The records of a {@link LogStandIn} in memory, with their offsets and times.
 *
 * <p>Offsets are consecutive and never reused. Records older than the retention expire with the
 * next append, and the first offset rises. Safe for any thread.
 */
final class RecordStore {
  private static final long SECOND_MILLIS = 1_000;

  private final ArrayDeque<Stored> records = new ArrayDeque<>();
  private long firstOffset;
  private long retentionMillis = Long.MAX_VALUE;
  private long secondStartMillis;
  private int appendsInSecond;
  private int highestAppendsInSecond;
  private long refusedAppends;

  private record Stored(long timeMillis, byte[] bytes) {}

  synchronized void setRetentionMillis(long millis) {
    retentionMillis = millis;
  }

  /** Adds a record and returns its offset; empty if this second's limit is used up. */
  synchronized OptionalLong append(byte[] bytes, int limitPerSecond, long nowMillis) {
    if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
      secondStartMillis = nowMillis;
      appendsInSecond = 0;
    }
    if (appendsInSecond >= limitPerSecond) {
      refusedAppends++;
      return OptionalLong.empty();
    }
    appendsInSecond++;
    highestAppendsInSecond = Math.max(highestAppendsInSecond, appendsInSecond);
    records.add(new Stored(nowMillis, bytes));
    expire(nowMillis);
    notifyAll();
    return OptionalLong.of(nextOffset() - 1);
  }

  private void expire(long nowMillis) {
    while (records.size() > 1 && nowMillis - records.peek().timeMillis() > retentionMillis) {
      records.poll();
      firstOffset++;
    }
  }

  /** Returns records from {@code from}, or from the first kept one if that is higher. */
  synchronized LogPage read(long from, int max, long waitMillis) throws InterruptedException {
    long deadline = System.nanoTime() + waitMillis * 1_000_000;
    while (nextOffset() <= from) {
      long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        break;
      }
      wait(leftMillis);
    }
    long start = Math.max(firstOffset, Math.min(from, nextOffset()));
    List<byte[]> page = new ArrayList<>();
    Iterator<Stored> stored = records.iterator();
    for (long offset = firstOffset; offset < start; offset++) {
      stored.next();
    }
    while (stored.hasNext() && page.size() < max) {
      page.add(stored.next().bytes());
    }
    return new LogPage(firstOffset, nextOffset(), start, page);
  }

  synchronized long nextOffset() {
    return firstOffset + records.size();
  }

  synchronized int highestAppendsInSecond() {
    return highestAppendsInSecond;
  }

  synchronized long refusedAppends() {
    return refusedAppends;
  }
}
