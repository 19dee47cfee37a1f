package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.persimmonloom.core.workflow.TableRecord;

/** The platform's log in memory, with answers that get lost and refusals. Safe for any thread. */
final class FakeKeyedLog implements KeyedLog {
  private final Map<Table, List<StoredRecord>> tables = new EnumMap<>(Table.class);
  private final Map<String, Long> epochs = new HashMap<>();
  private final Map<String, Long> sequences = new HashMap<>();

  /** How many of the next appends take effect without an answer. */
  int lostAnswers;

  /** How many of the next calls are refused without effect. */
  int refusals;

  boolean isDown;

  /** How many of the next reads find that their records have expired. */
  int expiries;

  /** Runs on the calling thread before the newest records of a table are read. */
  volatile Consumer<Table> beforeNewest = table -> {};

  /** How many records a read returns at most. */
  volatile int pageRecords = Integer.MAX_VALUE;

  private int appends;

  private List<StoredRecord> table(Table table) {
    return tables.computeIfAbsent(table, key -> new ArrayList<>());
  }

  synchronized int appends() {
    return appends;
  }

  synchronized List<TableRecord> records(Table table) {
    return table(table).stream().map(StoredRecord::record).toList();
  }

  @Override
  public synchronized LogReadResult read(Table table, long from, int waitMillis) {
    if (isDown) {
      return new LogReadResult.Unavailable("down");
    }
    if (expiries > 0) {
      expiries--;
      return new LogReadResult.Expired();
    }
    List<StoredRecord> all = table(table);
    int first = (int) Math.min(from, all.size());
    int last = (int) Math.min(all.size(), (long) first + pageRecords);
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
    appends++;
    if (isRefused()) {
      return new AppendResult.Refused("busy");
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
    return answer(table, records.size());
  }

  @Override
  public synchronized AppendResult appendAt(Table table, long expectedEnd, TableRecord record) {
    appends++;
    if (isRefused()) {
      return new AppendResult.Refused("busy");
    }
    if (expectedEnd != table(table).size()) {
      return new AppendResult.Conflict(table(table).size());
    }
    add(table, record);
    return answer(table, 1);
  }

  private boolean isRefused() {
    if (refusals > 0) {
      refusals--;
      return true;
    }
    return isDown;
  }

  private void add(Table table, TableRecord record) {
    table(table).add(new StoredRecord(table(table).size(), record));
  }

  private AppendResult answer(Table table, int count) {
    if (lostAnswers > 0) {
      lostAnswers--;
      return new AppendResult.Unknown("lost");
    }
    int end = table(table).size();
    return new AppendResult.Appended(end - count, end);
  }
}
