package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;

/** Tests when an owner removes the cancellations of workflows that nobody has submitted. */
class CancellationRemovalTest {
  private static final String ID = PeerAppendTest.workflow().id();

  /** Time for which ended workflows are shown. */
  private static final long STATUS_KEPT_MILLIS = 120_000;

  /** Longer than the owner keeps the records. */
  private static final long LONG_MILLIS = 3_600_000;

  private final AtomicLong now = new AtomicLong(1_000_000);
  private final WorkflowRecords records = new WorkflowRecords();
  private final FakeKeyedLog log = new FakeKeyedLog();
  private final WorkflowReplica workflows = new WorkflowReplica();
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, workflows, now::get, 0, 0);
  private final WorkflowMetrics metrics = new WorkflowMetrics();
  private final TableWriter writer =
      new TableWriter(log, Table.WORKFLOWS, "owner", 1, metrics, now::get);
  private final EndedWorkflowRemoval removal =
      new EndedWorkflowRemoval(
          new FleetServices(
              "host",
              log,
              null,
              null,
              null,
              null,
              workflows,
              follower,
              null,
              new SchedulingSettings(6_000, 8_000, 3_000, 900, STATUS_KEPT_MILLIS),
              metrics,
              now::get,
              InstantSource.system()),
          writer);
  private int appended;

  @BeforeEach
  void start() {
    follower.start();
    writer.start();
  }

  @AfterEach
  void stop() {
    follower.stop();
    writer.stop();
  }

  private void append(TableRecord record) throws InterruptedException {
    appended++;
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, appended), List.of(record));
    awaitFollower();
  }

  private void awaitFollower() throws InterruptedException {
    while (!follower.isLoaded() || follower.end() < log.records(Table.WORKFLOWS).size()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /** Lets the owner look for expired records after some time, and returns the newest record. */
  private TableRecord newestAfter(long millis) throws InterruptedException {
    now.addAndGet(millis);
    while (!log.isDown && follower.ageMillis() > 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    removal.removeExpired(now.get());
    TimeUnit.MILLISECONDS.sleep(100);
    awaitFollower();
    List<TableRecord> all = log.records(Table.WORKFLOWS);
    return all.get(all.size() - 1);
  }

  /** Guards against records that stay for good, and against a removal before a late submission. */
  @Test
  void cancellationOfAnUnknownWorkflowIsRemovedMuchLater() throws Exception {
    append(records.cancellation(ID));
    assertThat(newestAfter(0).value()).isNotNull();
    assertThat(newestAfter(2 * STATUS_KEPT_MILLIS).value()).isNotNull();
    TableRecord newest = newestAfter(LONG_MILLIS);
    assertThat(newest.key()).isEqualTo(records.cancellationRemoval(ID).key());
    assertThat(newest.value()).isNull();
    assertThat(workflows.unsubmittedCancellations()).isEmpty();
  }

  /** Guards against a removal that follows a repeated cancellation at once. */
  @Test
  void repeatedCancellationIsKeptAsLongAsTheFirst() throws Exception {
    append(records.cancellation(ID));
    newestAfter(0);
    append(records.cancellation(ID));
    assertThat(newestAfter(LONG_MILLIS).value()).isNotNull();
    assertThat(newestAfter(LONG_MILLIS).value()).isNull();
  }

  /** Guards against the removal of the cancellation of a workflow that was submitted after it. */
  @Test
  void cancellationOfASubmittedWorkflowStays() throws Exception {
    append(records.cancellation(ID));
    newestAfter(0);
    append(records.submission(PeerAppendTest.workflow()));
    newestAfter(LONG_MILLIS);
    assertThat(newestAfter(LONG_MILLIS).value()).isNotNull();
  }

  /** Guards against a removal by an owner that cannot have read a submission. */
  @Test
  void ownerThatCannotReadRemovesNoCancellation() throws Exception {
    append(records.cancellation(ID));
    newestAfter(0);
    log.isDown = true;
    while (follower.isAvailable()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    newestAfter(LONG_MILLIS);
    log.isDown = false;
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(newestAfter(0).value()).isNotNull();
    assertThat(newestAfter(LONG_MILLIS).value()).isNull();
  }
}
