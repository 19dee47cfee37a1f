package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * The platform's store: the log of the workflow table, whose producers are fenced by their epochs,
 * the ownership log with conditional appends, and the entries of the workers. Not thread-safe.
 */
final class StepModelStore {
  private static final long ENTRY_TTL_MILLIS = 4_500;

  /** What follows from all records, for checks. */
  final WorkflowTable table = new WorkflowTable();

  private final List<TableRecord> log = new ArrayList<>();
  private final List<Claim> ownership = new ArrayList<>();
  private final Map<String, Producer> producers = new HashMap<>();
  private final Map<String, Entry> entries = new TreeMap<>();
  private long entriesVersion;

  /** A record of the ownership log; fence 0 stands for a claim. */
  record Claim(int host, long incarnation, long fence) {}

  record Stored(TableRecord record, long offset) {}

  /** Records with the position after them. */
  record Read(List<Stored> records, long end) {}

  record ClaimRead(List<Claim> claims, long end) {}

  /** The list of workers. */
  record Listed(List<WorkerFacts> workers, long version) {}

  private record Producer(long epoch, long sequence) {}

  private record Entry(WorkerFacts facts, long writtenMillis) {}

  enum Append {
    WRITTEN,
    FENCED,
    OUT_OF_SEQUENCE
  }

  Append append(String name, long epoch, long sequence, List<TableRecord> records) {
    Producer known = producers.getOrDefault(name, new Producer(0, 0));
    if (epoch < known.epoch) {
      return Append.FENCED;
    }
    if (epoch == known.epoch && sequence <= known.sequence) {
      return Append.WRITTEN;
    }
    if (epoch == known.epoch && sequence != known.sequence + 1) {
      return Append.OUT_OF_SEQUENCE;
    }
    producers.put(name, new Producer(epoch, sequence));
    records.forEach(this::append);
    return Append.WRITTEN;
  }

  /** Appends a record of a submitter. */
  void append(TableRecord record) {
    table.apply(record, log.size());
    log.add(record);
  }

  long end() {
    return log.size();
  }

  Read read(long from) {
    List<Stored> read = new ArrayList<>();
    for (long offset = from; offset < log.size(); offset++) {
      read.add(new Stored(log.get((int) offset), offset));
    }
    return new Read(read, log.size());
  }

  /** Returns the newest record of each key, without removed ones, in the order of the log. */
  Read newest() {
    Map<String, Stored> byKey = new HashMap<>();
    for (Stored stored : read(0).records) {
      byKey.put(stored.record.key(), stored);
    }
    List<Stored> kept =
        byKey.values().stream()
            .filter(stored -> stored.record.value() != null)
            .sorted(java.util.Comparator.comparingLong(Stored::offset))
            .toList();
    return new Read(kept, log.size());
  }

  /** Appends a claim if the log ends at the offset; returns the offset, or -1. */
  long claimAt(long offset, Claim claim) {
    if (offset != ownership.size()) {
      return -1;
    }
    ownership.add(claim);
    return offset;
  }

  ClaimRead claims(long from) {
    List<Claim> read = new ArrayList<>();
    for (long offset = from; offset < ownership.size(); offset++) {
      Claim claim = ownership.get((int) offset);
      read.add(claim.fence == 0 ? new Claim(claim.host, claim.incarnation, offset + 1) : claim);
    }
    return new ClaimRead(read, ownership.size());
  }

  void heartbeat(WorkerFacts facts, long nowMillis) {
    Entry previous = entries.put(facts.id(), new Entry(facts, nowMillis));
    entriesVersion += previous == null || !previous.facts.equals(facts) ? 1 : 0;
  }

  void removeLapsedEntries(long nowMillis) {
    if (entries.values().removeIf(entry -> nowMillis - entry.writtenMillis > ENTRY_TTL_MILLIS)) {
      entriesVersion++;
    }
  }

  boolean hasEntry(String worker) {
    return entries.containsKey(worker);
  }

  Listed workers() {
    return new Listed(entries.values().stream().map(Entry::facts).toList(), entriesVersion);
  }
}
