package org.persimmonloom.runtime.workflow;

import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * The platform's log of keyed tables. Calls block up to a bounded time and report failures in their
 * result. Safe for any thread.
 */
public interface KeyedLog {
  /**
   * Position of an append in the sequence of one writer. Repeating a sequence number has no further
   * effect, so an append without an answer can be repeated until an answer arrives.
   *
   * @param producer name of the writer
   * @param epoch epoch of the writer; a higher epoch fences all lower ones of the same writer
   * @param sequence number of the append within its epoch
   */
  record Sequence(String producer, long epoch, long sequence) {}

  /** Reads records starting at an offset, and waits up to {@code waitMillis} for the first one. */
  LogReadResult read(Table table, long from, int waitMillis);

  /**
   * Reads the newest record of every key. A read from the result's end offset misses no later
   * record. The records need not be those of one position: some may be newer than the end, and
   * others, which were removed meanwhile, be missing. They are complete together with the records
   * from the end to the observed end.
   */
  LogReadResult readNewest(Table table);

  /** Appends all records atomically. */
  AppendResult append(Table table, Sequence sequence, List<TableRecord> records);

  /** Appends a record if the table ends at the expected offset. */
  AppendResult appendAt(Table table, long expectedEnd, TableRecord record);
}
