package org.persimmonloom.runtime.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * The last records that this host folded, for peers that can't read the log. Bounded by bytes and
 * by number. Safe for any thread.
 */
@Singleton
public final class RecordWindow {
  static final int MAX_BYTES = 8 << 20;
  static final int MAX_RECORDS = 20_000;

  private final ArrayDeque<byte[]> records = new ArrayDeque<>();
  private long nextOffset;
  private long bytes;

  @Inject
  public RecordWindow() {}

  /** Adds the record that was folded at {@code offset}; a jump of offsets starts a new window. */
  synchronized void add(long offset, byte[] record) {
    if (offset != nextOffset) {
      records.clear();
      bytes = 0;
    }
    records.add(record);
    bytes += record.length;
    nextOffset = offset + 1;
    while (bytes > MAX_BYTES || records.size() > MAX_RECORDS) {
      bytes -= records.poll().length;
    }
  }

  /**
   * Returns the records from {@code fromOffset} on, up to {@code maxBytes}; none if the first is
   * not in the window any more. The page's end is the end of this host's fold, not of the log.
   */
  public synchronized LogPage page(long fromOffset, int maxBytes) {
    long firstOffset = nextOffset - records.size();
    List<byte[]> found = new ArrayList<>();
    if (fromOffset >= firstOffset) {
      Iterator<byte[]> iterator = records.iterator();
      for (long offset = firstOffset; offset < fromOffset && iterator.hasNext(); offset++) {
        iterator.next();
      }
      int size = 0;
      while (iterator.hasNext()) {
        byte[] record = iterator.next();
        size += record.length;
        if (size > maxBytes) {
          break;
        }
        found.add(record);
      }
    }
    return new LogPage(firstOffset, nextOffset, fromOffset, found);
  }
}
