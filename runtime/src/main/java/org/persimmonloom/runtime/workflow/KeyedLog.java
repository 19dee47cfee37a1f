package org.persimmonloom.runtime.workflow;

import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * The platform's log of keyed tables. Calls block up to a bounded time and report failures in their
 * result. Safe for any thread.
 */
public interface KeyedLog {
  /**
   * Position of an append in the sequence of one writer. A repeat of a sequence number has no
   * second effect, so an unanswered append is repeated until it is answered.
   *
   * @param producer name of the writer
   * @param epoch a higher epoch shuts out all lower ones of the same writer
   * @param sequence number of the append in its epoch
   */
  record Sequence(String producer, long epoch, long sequence) {}

  /** Reads records from an offset on, waiting up to {@code waitMillis} for the first. */
  LogReadResult read(Table table, long from, int waitMillis);

  /**
   * Reads the newest record of every key. The result's end is an offset from which reading on
   * misses nothing.
   */
  LogReadResult readNewest(Table table);

  /** Appends all records or none. */
  AppendResult append(Table table, Sequence sequence, List<TableRecord> records);

  /** Appends a record if the table ends at the given offset. */
  AppendResult appendAt(Table table, long expectedEnd, TableRecord record);
}
