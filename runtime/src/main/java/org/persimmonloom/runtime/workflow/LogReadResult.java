package org.persimmonloom.runtime.workflow;

import java.util.List;

/** Result of a read of a table's log. */
public sealed interface LogReadResult {
  /**
   * Records of a table.
   *
   * @param records the records; in the order of their offsets if they are read from an offset
   * @param end offset from which a read misses no later record
   * @param observedEnd offset before which a read of the newest records may have observed changes;
   *     beyond {@code end} if they were read in several steps, between which records were appended
   */
  record Records(List<StoredRecord> records, long end, long observedEnd) implements LogReadResult {
    /** Creates the result of a read that observed the table at one position. */
    public Records(List<StoredRecord> records, long end) {
      this(records, end, end);
    }
  }

  /** The requested records have expired; the reader must load the newest record of each key. */
  record Expired() implements LogReadResult {}

  /**
   * The read failed or its response was unusable.
   *
   * @param reason cause of the failure
   */
  record Unavailable(String reason) implements LogReadResult {}
}
