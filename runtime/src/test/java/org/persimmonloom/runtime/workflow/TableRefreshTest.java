package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

/** Tests many requests at the same time that need a replica which is behind. */
class TableRefreshTest {
  private static final int RECORD_COUNT = 20;
  private static final int RECORDS_PER_READ = 5;
  private static final int REFRESH_COUNT = 8;
  private static final int READ_MILLIS = 50;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong recordsRead = new AtomicLong();

  /** Whether the present thread is that of a request. */
  private final ThreadLocal<Boolean> isRequest = ThreadLocal.withInitial(() -> false);

  private volatile long requestReadMillis = READ_MILLIS;

  /** Counts the records that cross the host's link, and takes time for each read. */
  private final CutOffLog link =
      new CutOffLog(log) {
        @Override
        public LogReadResult read(Table table, long from, int waitMillis) {
          sleepQuietly(isRequest.get() ? requestReadMillis : READ_MILLIS);
          LogReadResult result = super.read(table, from, waitMillis);
          if (result instanceof LogReadResult.Records records) {
            recordsRead.addAndGet(records.records().size());
          }
          return result;
        }
      };

  private final TableFollower follower =
      new TableFollower(
          link, Table.WORKFLOWS, new WorkflowReplica(), WorkflowHost.steadyClock(), 0, 0);

  private final ExecutorService requests = Executors.newFixedThreadPool(REFRESH_COUNT);

  @BeforeEach
  void load() {
    follower.start();
    while (!follower.isLoaded()) {
      sleepQuietly(5);
    }
  }

  @AfterEach
  void stop() {
    follower.stop();
    requests.shutdownNow();
  }

  private static void sleepQuietly(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Boolean> refreshAtTheSameTime() {
    List<CompletableFuture<Boolean>> results = new ArrayList<>();
    for (int number = 0; number < REFRESH_COUNT; number++) {
      results.add(CompletableFuture.supplyAsync(follower::refresh, requests));
    }
    return results.stream().map(CompletableFuture::join).toList();
  }

  /**
   * Guards against a host whose small link is filled by copies of the same records, one for each
   * request for a workflow that its replica does not have yet, so that it never catches up.
   */
  @Test
  void requestsAtTheSameTimeReadMissingRecordsOnce() {
    log.maxRecordsPerRead = RECORDS_PER_READ;
    List<TableRecord> missing = new ArrayList<>();
    for (int number = 0; number < RECORD_COUNT; number++) {
      missing.add(new TableRecord("key" + number, new byte[] {1}));
    }
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, 1), missing);
    assertThat(refreshAtTheSameTime()).containsOnly(true);
    assertThat(follower.end()).isEqualTo(RECORD_COUNT);
    // The follower's read in progress, which waited for new records, may return a page as well.
    assertThat(recordsRead.get()).isLessThanOrEqualTo(RECORD_COUNT + RECORDS_PER_READ);
  }

  /** Guards against requests that wait for the failures of each other's reads in an outage. */
  @Test
  void requestsAtTheSameTimeWaitForOneUnansweredRead() {
    link.cut = CutOffLog.Cut.SILENT;
    long startNanos = System.nanoTime();
    assertThat(refreshAtTheSameTime()).containsOnly(false);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertThat(millis).isLessThan(3 * CutOffLog.SILENCE_MILLIS);
  }

  /** Guards against a replica that grows old because the read of one request does not end. */
  @Test
  void replicaCatchesUpBesideARequestWhoseReadDoesNotEnd() {
    link.cut = CutOffLog.Cut.REFUSED;
    // Let the read in progress end, and one fail.
    sleepQuietly(5 * READ_MILLIS);
    requestReadMillis = TimeUnit.SECONDS.toMillis(30);
    requests.execute(
        () -> {
          isRequest.set(true);
          follower.refresh();
        });
    sleepQuietly(READ_MILLIS);
    TableRecord record = new TableRecord("key", new byte[] {1});
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, 1), List.of(record));
    link.cut = null;
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
    while (follower.end() < 1 && System.nanoTime() < untilNanos) {
      sleepQuietly(5);
    }
    assertThat(follower.end()).isEqualTo(1);
  }

  /** Guards against an accepted workflow that is reported as unknown after a shared read. */
  @Test
  void refreshIncludesWhatWasWrittenBeforeItsCall() {
    for (int number = 1; number <= RECORD_COUNT; number++) {
      TableRecord record = new TableRecord("key" + number, new byte[] {1});
      log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, number), List.of(record));
      int written = number;
      List<CompletableFuture<Long>> ends = new ArrayList<>();
      for (int request = 0; request < 2; request++) {
        ends.add(
            CompletableFuture.supplyAsync(
                () -> follower.refresh() ? follower.end() : -1, requests));
      }
      assertThat(ends).allSatisfy(end -> assertThat(end.join()).isGreaterThanOrEqualTo(written));
    }
  }
}
