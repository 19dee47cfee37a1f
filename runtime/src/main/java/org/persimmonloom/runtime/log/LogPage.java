package org.persimmonloom.runtime.log;

import java.util.List;

/**
 * Consecutive records of the platform log.
 *
 * @param firstOffset lowest offset that the log still keeps
 * @param nextOffset offset that the next append will get
 * @param fromOffset offset of the first record in {@code records}
 * @param records the records, in order of their offsets
 */
public record LogPage(long firstOffset, long nextOffset, long fromOffset, List<byte[]> records) {
  public LogPage {
    records = List.copyOf(records);
  }
}
