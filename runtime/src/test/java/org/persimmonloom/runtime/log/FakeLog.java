package org.persimmonloom.runtime.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** A log in memory whose failures a test switches on. Safe for any thread. */
final class FakeLog implements PlatformLog {
  /** What happens to the next appends. */
  enum AppendFault {
    NONE,
    /** The record is not added. */
    REFUSED,
    /** The record is added but the caller is not told. */
    ANSWER_LOST,
    /** The caller is told of a failure; the record is added by {@link #landAbandoned}. */
    ABANDONED,
    /** A fault of the client itself. */
    UNCHECKED
  }

  private static final long MAX_WAIT_MILLIS = 20;

  private final List<byte[]> records = new ArrayList<>();
  private final List<byte[]> abandoned = new ArrayList<>();
  private long firstOffset;
  private AppendFault fault = AppendFault.NONE;
  private int faultyAppends;
  private boolean isReadable = true;
  private CountDownLatch gate = new CountDownLatch(0);
  private int appends;

  synchronized void failAppends(AppendFault next, int count) {
    fault = next;
    faultyAppends = count;
  }

  synchronized void setReadable(boolean readable) {
    isReadable = readable;
  }

  /** Keeps appends from finishing until the returned latch is counted down. */
  synchronized CountDownLatch holdAppends() {
    gate = new CountDownLatch(1);
    return gate;
  }

  synchronized void landAbandoned() {
    records.addAll(abandoned);
    abandoned.clear();
    notifyAll();
  }

  /** Drops the records below the offset. */
  synchronized void expire(long offset) {
    firstOffset = offset;
  }

  /** Adds a record whatever faults are switched on. */
  synchronized void add(byte[] record) {
    records.add(record);
    notifyAll();
  }

  synchronized int appends() {
    return appends;
  }

  synchronized List<byte[]> records() {
    return List.copyOf(records);
  }

  @Override
  public long append(byte[] record) throws IOException {
    awaitGate();
    synchronized (this) {
      appends++;
      AppendFault now = faultyAppends > 0 ? fault : AppendFault.NONE;
      faultyAppends = Math.max(0, faultyAppends - 1);
      if (now == AppendFault.UNCHECKED) {
        throw new IllegalStateException("fault in the client");
      }
      if (now == AppendFault.ABANDONED) {
        abandoned.add(record);
      }
      if (now == AppendFault.NONE || now == AppendFault.ANSWER_LOST) {
        records.add(record);
        notifyAll();
      }
      if (now != AppendFault.NONE) {
        throw new IOException("append " + now);
      }
      return records.size() - 1L;
    }
  }

  private void awaitGate() throws IOException {
    CountDownLatch current;
    synchronized (this) {
      current = gate;
    }
    try {
      current.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  @Override
  public synchronized LogPage read(long fromOffset, int maxRecords, long waitMillis)
      throws IOException {
    try {
      if (records.size() <= fromOffset) {
        wait(Math.min(MAX_WAIT_MILLIS, waitMillis));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
    if (!isReadable) {
      throw new IOException("log down");
    }
    int start = (int) Math.min(records.size(), Math.max(firstOffset, fromOffset));
    int end = Math.min(records.size(), start + maxRecords);
    return new LogPage(
        firstOffset, records.size(), start, List.copyOf(records.subList(start, end)));
  }
}
