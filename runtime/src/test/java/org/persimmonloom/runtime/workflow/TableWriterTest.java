package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

class TableWriterTest {
  private static final TableRecord RECORD = new TableRecord("s.f1", new byte[] {1});

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong clock = new AtomicLong();
  private final TableWriter writer =
      new TableWriter(log, Table.WORKFLOWS, "host", 1, new WorkflowMetrics(), clock::get);

  @AfterEach
  void stop() {
    writer.stop();
  }

  /** Guards against a record that is appended twice because a response was lost. */
  @Test
  void lostResponsesLeaveOneRecord() throws Exception {
    log.lostResponses = 2;
    writer.start();
    assertThat(writer.append(List.of(RECORD), 0).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.WRITTEN);
    assertThat(log.records(Table.WORKFLOWS)).containsExactly(RECORD);
    assertThat(log.appendCount()).isEqualTo(3);
  }

  /**
   * Guards against a writer that ends with an exception: its host would accept nothing any more,
   * and its callers would wait for their deadlines.
   */
  @Test
  void writerContinuesAfterAnException() throws Exception {
    log.failingAppends = 1;
    writer.start();
    assertThat(writer.append(List.of(RECORD), 0).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.WRITTEN);
    assertThat(log.records(Table.WORKFLOWS)).containsExactly(RECORD);
  }

  private static List<TableRecord> largeRecords(int count, int bytes) {
    return IntStream.range(0, count)
        .mapToObj(index -> new TableRecord("p.f1." + index, new byte[bytes]))
        .toList();
  }

  /**
   * Guards against a batch over the size of a call, which the store refuses for good: 21,900 ended
   * occurrences were 2.5 MB, and no progress of any workflow was recorded any more.
   */
  @Test
  void largeBatchIsWrittenInParts() throws Exception {
    List<TableRecord> batch = largeRecords(200, 16 * 1_024);
    log.maxAppendBytes = 2 * TableWriter.MAX_GROUP_BYTES;
    writer.start();
    assertThat(writer.appendInParts(batch).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.WRITTEN);
    assertThat(log.records(Table.WORKFLOWS)).containsExactlyElementsOf(batch);
    assertThat(log.largestAppendBytes).isLessThanOrEqualTo(TableWriter.MAX_GROUP_BYTES);
  }

  /** Guards against a store with a smaller limit, which refuses each part for good. */
  @Test
  void partsThatAreTooLargeAreDivided() throws Exception {
    List<TableRecord> batch = largeRecords(64, 1_024);
    log.maxAppendBytes = 5_000;
    writer.start();
    assertThat(writer.appendInParts(batch).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.WRITTEN);
    assertThat(log.records(Table.WORKFLOWS)).containsExactlyElementsOf(batch);
  }

  /**
   * Guards against one record that the store never takes and behind which all later records of its
   * writer wait.
   */
  @Test
  void recordThatIsRefusedForGoodHoldsUpNoOthers() throws Exception {
    List<TableRecord> batch = new ArrayList<>(largeRecords(5, 100));
    batch.add(3, new TableRecord("p.large.0", new byte[10_000]));
    log.maxAppendBytes = 5_000;
    writer.start();
    CompletableFuture<TableWriter.Outcome> rejected = writer.appendInParts(batch);
    CompletableFuture<TableWriter.Outcome> later = writer.append(List.of(RECORD), Long.MAX_VALUE);
    assertThat(rejected.get(5, TimeUnit.SECONDS)).isEqualTo(TableWriter.Outcome.REJECTED);
    assertThat(later.get(5, TimeUnit.SECONDS)).isEqualTo(TableWriter.Outcome.WRITTEN);
    assertThat(log.records(Table.WORKFLOWS)).hasSize(6).contains(RECORD);
  }

  /**
   * Guards against submissions that fail together: those that wait are appended as a group, which
   * was over the size of a call if a few were large.
   */
  @Test
  void groupOfWaitingAppendsIsBoundedInSize() throws Exception {
    log.maxAppendBytes = 2 * TableWriter.MAX_GROUP_BYTES;
    List<CompletableFuture<TableWriter.Outcome>> outcomes = new ArrayList<>();
    for (TableRecord record : largeRecords(100, 128 * 1_024)) {
      outcomes.add(writer.append(List.of(record), 0));
    }
    writer.start();
    for (CompletableFuture<TableWriter.Outcome> outcome : outcomes) {
      assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo(TableWriter.Outcome.WRITTEN);
    }
    assertThat(log.largestAppendBytes).isLessThanOrEqualTo(TableWriter.MAX_GROUP_BYTES);
  }

  /** Guards against reporting a record as not written although it may be in the log. */
  @Test
  void appendWithUnknownResultIsNotReportedAsNotWritten() throws Exception {
    log.lostResponses = 1;
    var outcome = writer.append(List.of(RECORD), 0);
    writer.start();
    assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo(TableWriter.Outcome.WRITTEN);
  }

  /** Guards against a submitter that waits indefinitely while the log refuses all writes. */
  @Test
  void refusedAppendIsGivenUpAfterDeadline() throws Exception {
    log.refusedAppends = 1;
    writer.start();
    assertThat(writer.append(List.of(RECORD), 0).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.NOT_WRITTEN);
    assertThat(log.records(Table.WORKFLOWS)).isEmpty();
  }

  /**
   * Guards against a writer whose appends are all out of sequence after an outage, because groups
   * that were given up used sequence numbers: no host accepted submissions for 14 s after the log
   * had recovered.
   */
  @Test
  void writerContinuesAfterGroupIsGivenUp() throws Exception {
    writer.start();
    assertThat(writer.append(List.of(RECORD), 0).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.WRITTEN);
    log.refusedAppends = 1;
    assertThat(writer.append(List.of(RECORD), 0).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.NOT_WRITTEN);
    assertThat(writer.append(List.of(RECORD), Long.MAX_VALUE).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.WRITTEN);
  }

  /** Guards against records whose result stays incomplete although they were never sent. */
  @Test
  void recordQueuedBehindUnknownAppendIsNotWritten() throws Exception {
    log.lostResponses = Integer.MAX_VALUE;
    writer.start();
    var first = writer.append(List.of(RECORD), 0);
    while (log.appendCount() == 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    var second = writer.append(List.of(new TableRecord("s.f2", new byte[] {1})), 0);
    assertThat(second.get(5, TimeUnit.SECONDS)).isEqualTo(TableWriter.Outcome.NOT_WRITTEN);
    assertThat(first).isNotDone();
    assertThat(log.records(Table.WORKFLOWS)).containsExactly(RECORD);
  }

  /** Guards against a former owner that overwrites its successor's records. */
  @Test
  void olderEpochIsFenced() throws Exception {
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 2, 1), List.of());
    writer.start();
    assertThat(writer.append(List.of(RECORD), 0).get(5, TimeUnit.SECONDS))
        .isEqualTo(TableWriter.Outcome.FENCED);
    assertThat(log.records(Table.WORKFLOWS)).isEmpty();
  }
}
