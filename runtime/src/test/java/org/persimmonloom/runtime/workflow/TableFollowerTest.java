package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

/** A replica that is behind the table by more than one read returns. */
class TableFollowerTest {
  private static final int RECORDS = 9;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong clock = new AtomicLong(1_000);
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, (stored, isBacklog) -> {}, clock::get, 0, 0);

  @AfterEach
  void stop() {
    follower.stop();
  }

  /** Loads the empty table; then the table grows, and a read returns only some of it. */
  private void fallBehind(int pageRecords) throws InterruptedException {
    follower.start();
    while (!follower.isLoaded()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    log.pageRecords = 0;
    for (int number = 1; number <= RECORDS; number++) {
      TableRecord record = new TableRecord("key" + number, new byte[] {1});
      log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, number), List.of(record));
    }
    // A read that began while the table was empty has ended by then.
    TimeUnit.MILLISECONDS.sleep(50);
    clock.set(5_000);
    log.pageRecords = pageRecords;
  }

  /**
   * Guards against an accepted workflow that is told to be unknown, and against a new owner that
   * begins before it has read all changes, because one read did not return everything.
   */
  @Test
  void refreshReadsToTheEndOfTheTable() throws InterruptedException {
    fallBehind(1);
    assertThat(follower.refresh()).isTrue();
    assertThat(follower.end()).isEqualTo(RECORDS);
  }

  /** Guards against a host that counts as current, and answers, while its replica is behind. */
  @Test
  void replicaIsConfirmedOnlyAtTheEndOfTheTable() throws InterruptedException {
    fallBehind(0);
    assertThat(follower.refresh()).isFalse();
    assertThat(follower.caughtUpMillis()).isEqualTo(1_000);
    log.pageRecords = 2;
    assertThat(follower.refresh()).isTrue();
    assertThat(follower.caughtUpMillis()).isEqualTo(5_000);
  }

  /** Guards against a new owner that begins with a replica whose position has expired. */
  @Test
  void refreshOfAnExpiredPositionFails() throws InterruptedException {
    fallBehind(0);
    log.expiries = Integer.MAX_VALUE;
    assertThat(follower.refresh()).isFalse();
  }
}
