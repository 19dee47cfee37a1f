package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/** Divides records that need not be appended together. Stateless. */
final class RecordParts {
  /** Lengths of a record and its key, in bytes. */
  private static final int FRAMING_BYTES = 5;

  private RecordParts() {}

  /** Returns the size of records in an append, in bytes. */
  static long sizeBytes(List<TableRecord> records) {
    return records.stream().mapToLong(record -> record.sizeBytes() + FRAMING_BYTES).sum();
  }

  /** Returns consecutive parts of at most the given size, or of one record that is larger. */
  static List<List<TableRecord>> of(List<TableRecord> records, int maxBytes) {
    List<List<TableRecord>> parts = new ArrayList<>();
    int first = 0;
    long bytes = 0;
    for (int index = 0; index < records.size(); index++) {
      long recordBytes = records.get(index).sizeBytes() + FRAMING_BYTES;
      if (index > first && bytes + recordBytes > maxBytes) {
        parts.add(records.subList(first, index));
        first = index;
        bytes = 0;
      }
      bytes += recordBytes;
    }
    if (first < records.size()) {
      parts.add(records.subList(first, records.size()));
    }
    return parts;
  }
}
