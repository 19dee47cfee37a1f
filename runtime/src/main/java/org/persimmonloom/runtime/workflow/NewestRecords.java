package org.persimmonloom.runtime.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest record of each key at one position of a table. Starts with the records of a read that
 * need not be of one position, and advances through the log until it is. Not thread-safe.
 */
final class NewestRecords {
  /** Includes the removals that were read; a record that an earlier read observed may be older. */
  private final Map<String, StoredRecord> newest = new HashMap<>();

  private long end;

  NewestRecords(LogReadResult.Records read) {
    read.records().forEach(this::add);
    end = read.end();
  }

  private void add(StoredRecord stored) {
    newest.merge(
        stored.record().key(),
        stored,
        (known, added) -> added.offset() >= known.offset() ? added : known);
  }

  /** Reads up to a position at least; returns false if a read fails or returns too little. */
  boolean readTo(long requiredEnd, KeyedLog log, Table table) {
    while (end < requiredEnd) {
      if (!(log.read(table, end, 0) instanceof LogReadResult.Records read)
          || read.records().isEmpty()) {
        return false;
      }
      read.records().forEach(this::add);
      end = read.records().get(read.records().size() - 1).offset() + 1;
    }
    return true;
  }

  /** Returns the offset after the last record that is included. */
  long end() {
    return end;
  }

  /** Returns the newest record of each key that has one, in the order of their offsets. */
  List<StoredRecord> inOrder() {
    return newest.values().stream()
        .filter(stored -> stored.record().value() != null)
        .sorted(Comparator.comparingLong(StoredRecord::offset))
        .toList();
  }
}
