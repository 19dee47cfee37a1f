package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

/** Tests a replica that is behind by more records than one read returns. */
class TableFollowerTest {
  private static final int RECORD_COUNT = 9;
  private static final int STORM_VERSIONS = 100;
  private static final byte NEWEST_VERSION = STORM_VERSIONS - 1;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong clock = new AtomicLong(1_000);
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, listener(true, stored -> {}), clock::get, 0, 0);

  @AfterEach
  void stop() {
    follower.stop();
  }

  /** Returns a listener that passes on the records of loads and those that follow alike. */
  private static TableFollower.Listener listener(
      boolean needsEveryRecord, Consumer<StoredRecord> target) {
    return new TableFollower.Listener() {
      @Override
      public void apply(StoredRecord stored) {
        target.accept(stored);
      }

      @Override
      public TableFollower.Load beginLoad() {
        return TableFollower.Load.of(target, () -> {});
      }

      @Override
      public boolean needsEveryRecord() {
        return needsEveryRecord;
      }
    };
  }

  /** Loads the empty table, then appends records and limits the number that one read returns. */
  private void fallBehind(int maxRecordsPerRead) throws InterruptedException {
    follower.start();
    while (!follower.isLoaded()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    log.maxRecordsPerRead = 0;
    for (int number = 1; number <= RECORD_COUNT; number++) {
      TableRecord record = new TableRecord("key" + number, new byte[] {1});
      log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, number), List.of(record));
    }
    // Let a read that began while the table was empty end.
    TimeUnit.MILLISECONDS.sleep(50);
    clock.set(5_000);
    log.maxRecordsPerRead = maxRecordsPerRead;
  }

  /**
   * Guards against reporting an accepted workflow as unknown, and against a new owner that starts
   * before it has read all changes, when one read does not return all records.
   */
  @Test
  void refreshReadsToTheEndOfTheTable() throws InterruptedException {
    fallBehind(1);
    assertThat(follower.refresh()).isTrue();
    assertThat(follower.end()).isEqualTo(RECORD_COUNT);
  }

  /**
   * Guards against a host that counts as current and serves requests while its replica is behind.
   */
  @Test
  void replicaIsCaughtUpOnlyAtTheEndOfTheTable() throws InterruptedException {
    fallBehind(0);
    assertThat(follower.refresh()).isFalse();
    assertThat(follower.caughtUpMillis()).isEqualTo(1_000);
    log.maxRecordsPerRead = 2;
    assertThat(follower.refresh()).isTrue();
    assertThat(follower.caughtUpMillis()).isEqualTo(5_000);
  }

  /** Guards against a new owner that starts with a replica whose position has expired. */
  @Test
  void refreshOfAnExpiredPositionFails() throws InterruptedException {
    fallBehind(0);
    log.expiredReads = Integer.MAX_VALUE;
    assertThat(follower.refresh()).isFalse();
  }

  /**
   * Guards against a follower that reads the same records for ever, because its listener fails on
   * one of them.
   */
  @Test
  void recordOnWhichTheListenerFailsIsSkipped() throws InterruptedException {
    List<String> applied = new CopyOnWriteArrayList<>();
    TableFollower.Listener failing =
        listener(
            true,
            stored -> {
              String key = stored.record().key();
              if (key.startsWith("odd")) {
                throw new IllegalStateException("cannot apply " + key);
              }
              applied.add(key);
            });
    TableFollower reader = new TableFollower(log, Table.WORKERS, failing, clock::get, 0, 0);
    append("odd1", "a");
    reader.start();
    try {
      awaitLast(applied, "a");
      append("odd2", "b");
      awaitLast(applied, "b");
      assertThat(applied).containsExactly("a", "b");
    } finally {
      reader.stop();
    }
  }

  private void append(String... keys) {
    for (String key : keys) {
      long number = log.records(Table.WORKERS).size() + 1;
      TableRecord record = new TableRecord(key, new byte[] {1});
      log.append(Table.WORKERS, new KeyedLog.Sequence("writer", 1, number), List.of(record));
    }
  }

  private static void awaitLast(List<String> applied, String key) throws InterruptedException {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!(applied.contains(key)) && System.nanoTime() < untilNanos) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertThat(applied).contains(key);
  }

  /**
   * Guards against a host that applies a configuration seconds late: it read every version of a
   * storm of large ones over a slow link before it came to the newest.
   */
  @Test
  void onlyTheNewestOfManyReplacedRecordsIsRead() throws InterruptedException {
    log.maxRecordsPerRead = 1;
    assertThat(readsOfAStorm(null)).isLessThan(STORM_VERSIONS / 10);
  }

  /** Guards against the same after an outage of the store, in which the versions were written. */
  @Test
  void onlyTheNewestOfTheRecordsThatWereMissedIsRead() throws InterruptedException {
    assertThat(readsOfAStorm(CutOffLog.Cut.REFUSED)).isLessThan(STORM_VERSIONS / 10);
  }

  /** Returns how many versions a follower applies that is cut off while they are written. */
  private int readsOfAStorm(CutOffLog.Cut cut) throws InterruptedException {
    CutOffLog way = new CutOffLog(log);
    List<Byte> applied = new CopyOnWriteArrayList<>();
    TableFollower.Listener newestOnly =
        listener(false, stored -> applied.add(stored.record().value()[0]));
    TableFollower configuration =
        new TableFollower(way, Table.OPERATIONS, newestOnly, clock::get, 0, 0);
    configuration.start();
    while (!configuration.isLoaded()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    way.cut = cut;
    // Let a read that began before end, and one fail.
    TimeUnit.MILLISECONDS.sleep(300);
    List<TableRecord> storm = new ArrayList<>();
    for (int version = 0; version < STORM_VERSIONS; version++) {
      storm.add(new TableRecord("config", new byte[] {(byte) version}));
    }
    log.append(Table.OPERATIONS, new KeyedLog.Sequence("operator", 1, 1), storm);
    way.cut = null;
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!applied.contains(NEWEST_VERSION) && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    configuration.stop();
    assertThat(applied).contains(NEWEST_VERSION);
    return applied.size();
  }
}
