package org.persimmonloom.runtime.log;

import java.io.IOException;

/**
 * The platform's append-only log. Calls block. Safe for use by several threads.
 *
 * <p>An {@link IOException} from {@link #append} says nothing about whether the record was added.
 */
public interface PlatformLog {
  /** Adds a record and returns its offset. */
  long append(byte[] record) throws IOException;

  /**
   * Returns records from {@code fromOffset} on, waiting up to {@code waitMillis} for the first.
   *
   * @param maxRecords highest number of records to return
   */
  LogPage read(long fromOffset, int maxRecords, long waitMillis) throws IOException;
}
