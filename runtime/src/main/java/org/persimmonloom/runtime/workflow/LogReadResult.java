package org.persimmonloom.runtime.workflow;

import java.util.List;

/** Result of a read of a table's log. */
public sealed interface LogReadResult {
  /**
   * Records in the order of their offsets.
   *
   * @param records the records; empty if none exist at or after the requested offset
   * @param end offset of the next record to be appended
   */
  record Records(List<StoredRecord> records, long end) implements LogReadResult {}

  /** The requested records have expired; the reader must load the newest record of each key. */
  record Expired() implements LogReadResult {}

  /**
   * The read failed or its response was unusable.
   *
   * @param reason cause of the failure
   */
  record Unavailable(String reason) implements LogReadResult {}
}
