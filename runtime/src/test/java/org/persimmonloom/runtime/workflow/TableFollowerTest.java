package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

/** Tests a replica that is behind by more records than one read returns. */
class TableFollowerTest {
  private static final int RECORD_COUNT = 9;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong clock = new AtomicLong(1_000);
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, (stored, isBacklog) -> {}, clock::get, 0, 0);

  @AfterEach
  void stop() {
    follower.stop();
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
}
