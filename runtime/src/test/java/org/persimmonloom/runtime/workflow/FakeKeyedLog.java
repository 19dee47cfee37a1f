package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * In-memory implementation of the platform's log that simulates lost responses, refused calls and
 * expired records. Safe for any thread.
 */
final class FakeKeyedLog implements KeyedLog {
  private final Map<Table, List<StoredRecord>> tables = new EnumMap<>(Table.class);
  private final Map<String, Long> epochs = new HashMap<>();
  private final Map<String, Long> sequences = new HashMap<>();

  /** Number of following appends that take effect but return an unknown result. */
  int lostResponses;

  /** Number of following appends that are refused without effect. */
  int refusedAppends;

  boolean isDown;

  /** Maximum size of the records of an append; a larger one is refused for good. */
  long maxAppendBytes = Long.MAX_VALUE;

  /** Size of the largest append so far. */
  long largestAppendBytes;

  /** Number of following appends that take effect and then throw an exception. */
  int failingAppends;

  /** Number of following reads that report expired records. */
  int expiredReads;

  /** Called on the reader's thread before the newest records of a table are read. */
  volatile Consumer<Table> beforeNewest = table -> {};

  /** Called before records are appended with a sequence number. */
  volatile Runnable beforeAppend = () -> {};

  /** Maximum number of records that a read returns. */
  volatile int maxRecordsPerRead = Integer.MAX_VALUE;

  /** Called before records are read from an offset. */
  volatile Runnable beforeRead = () -> {};

  private int appendCount;
  private int refusedReads;

  private List<StoredRecord> table(Table table) {
    return tables.computeIfAbsent(table, key -> new ArrayList<>());
  }

  synchronized int appendCount() {
    return appendCount;
  }

  /** Returns the number of reads from an offset while the log was down. */
  synchronized int refusedReads() {
    return refusedReads;
  }

  synchronized List<TableRecord> records(Table table) {
    return table(table).stream().map(StoredRecord::record).toList();
  }

  @Override
  public synchronized LogReadResult read(Table table, long from, int waitMillis) {
    beforeRead.run();
    if (isDown) {
      refusedReads++;
      return new LogReadResult.Unavailable("down");
    }
    if (expiredReads > 0) {
      expiredReads--;
      return new LogReadResult.Expired();
    }
    List<StoredRecord> all = table(table);
    int first = (int) Math.min(from, all.size());
    int last = (int) Math.min(all.size(), (long) first + maxRecordsPerRead);
    return new LogReadResult.Records(List.copyOf(all.subList(first, last)), all.size());
  }

  @Override
  public LogReadResult readNewest(Table table) {
    beforeNewest.accept(table);
    return loadNewest(table);
  }

  private synchronized LogReadResult loadNewest(Table table) {
    if (isDown) {
      return new LogReadResult.Unavailable("down");
    }
    Map<String, StoredRecord> newest = new LinkedHashMap<>();
    for (StoredRecord stored : table(table)) {
      newest.remove(stored.record().key());
      if (stored.record().value() != null) {
        newest.put(stored.record().key(), stored);
      }
    }
    return new LogReadResult.Records(List.copyOf(newest.values()), table(table).size());
  }

  @Override
  public synchronized AppendResult append(
      Table table, Sequence sequence, List<TableRecord> records) {
    beforeAppend.run();
    appendCount++;
    if (takeRefusal()) {
      return new AppendResult.Refused("busy");
    }
    long bytes = records.stream().mapToLong(TableRecord::sizeBytes).sum();
    largestAppendBytes = Math.max(largestAppendBytes, bytes);
    if (bytes > maxAppendBytes) {
      return new AppendResult.Refused("too large", true);
    }
    String writer = table + sequence.producer();
    if (sequence.epoch() < epochs.getOrDefault(writer, 0L)) {
      return new AppendResult.Fenced();
    }
    boolean isNewEpoch =
        !Long.valueOf(sequence.epoch()).equals(epochs.put(writer, sequence.epoch()));
    long last = isNewEpoch ? sequence.sequence() - 1 : sequences.get(writer);
    if (sequence.sequence() > last + 1) {
      return new AppendResult.Unknown("sequence " + (last + 1));
    }
    if (sequence.sequence() == last + 1) {
      sequences.put(writer, sequence.sequence());
      records.forEach(record -> add(table, record));
    }
    return result(table, records.size());
  }

  @Override
  public synchronized AppendResult appendAt(Table table, long expectedEnd, TableRecord record) {
    appendCount++;
    if (takeRefusal()) {
      return new AppendResult.Refused("busy");
    }
    if (expectedEnd != table(table).size()) {
      return new AppendResult.Conflict(table(table).size());
    }
    add(table, record);
    return result(table, 1);
  }

  /** Appends to the ownership table on behalf of a host that is cut off. */
  AppendResult relay(long expectedEnd, TableRecord record) {
    return appendAt(Table.OWNERSHIP, expectedEnd, record);
  }

  private boolean takeRefusal() {
    if (refusedAppends > 0) {
      refusedAppends--;
      return true;
    }
    return isDown;
  }

  private void add(Table table, TableRecord record) {
    table(table).add(new StoredRecord(table(table).size(), record));
  }

  private AppendResult result(Table table, int count) {
    if (failingAppends > 0) {
      failingAppends--;
      throw new IllegalStateException("unexpected answer");
    }
    if (lostResponses > 0) {
      lostResponses--;
      return new AppendResult.Unknown("lost");
    }
    int end = table(table).size();
    return new AppendResult.Appended(end - count, end);
  }
}
