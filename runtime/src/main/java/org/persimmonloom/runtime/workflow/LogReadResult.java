package org.persimmonloom.runtime.workflow;

import java.util.List;

/** Answer to a read of a table's log. */
public sealed interface LogReadResult {
  /**
   * Records in the order of their offsets.
   *
   * @param records the records; empty if there are none from the requested offset on
   * @param end offset of the next record that will be appended
   */
  record Records(List<StoredRecord> records, long end) implements LogReadResult {}

  /** The requested records have expired; the newest record of each key must be loaded. */
  record Expired() implements LogReadResult {}

  /**
   * No usable answer.
   *
   * @param reason what went wrong
   */
  record Unavailable(String reason) implements LogReadResult {}
}
