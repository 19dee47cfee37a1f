package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests a submission without an answer that is appended after an outage of minutes. */
class LateSubmissionTest {
  private static final String ID = PeerAppendTest.workflow().id();
  private static final long STATUS_KEPT_MILLIS = 120_000;

  /** Longer than ended workflows are shown, and shorter than late submissions are expected. */
  private static final long OUTAGE_MILLIS = 300_000;

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
              () -> Instant.ofEpochMilli(now.get())),
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

  private void removeExpiredAfter(long millis) throws InterruptedException {
    now.addAndGet(millis);
    while (follower.ageMillis() > 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    removal.removeExpired(now.get());
    TimeUnit.MILLISECONDS.sleep(100);
    awaitFollower();
  }

  private void submitAndCancel() throws InterruptedException {
    append(records.submission(PeerAppendTest.workflow()));
    append(records.cancellation(ID));
    end(WorkflowState.CANCELLED);
  }

  private void end(WorkflowState state) throws InterruptedException {
    int[] runs = {0};
    append(
        records.progress(
            ID,
            0,
            new OccurrenceProgress("q", state, new byte[0], runs, new int[1][0], now.get())));
    append(records.submissionRemoval(ID));
  }

  /** Guards against tasks of a workflow whose cancellation was acknowledged minutes before. */
  @Test
  void submissionAfterTheStateOfACancelledWorkflowWasRemovedStartsNothing() throws Exception {
    submitAndCancel();
    removeExpiredAfter(OUTAGE_MILLIS);
    assertThat(workflows.state(ID)).isEmpty();
    append(records.submission(PeerAppendTest.workflow()));
    assertThat(workflows.state(ID)).contains(WorkflowState.CANCELLED);
  }

  /** Guards against work that is done a second time. */
  @Test
  @Tag("known-red")
  void submissionAfterTheStateOfACompleteWorkflowWasRemovedStartsNothing() throws Exception {
    append(records.submission(PeerAppendTest.workflow()));
    end(WorkflowState.COMPLETE);
    removeExpiredAfter(OUTAGE_MILLIS);
    append(records.submission(PeerAppendTest.workflow()));
    assertThat(workflows.state(ID)).isNotEqualTo(Optional.of(WorkflowState.PENDING));
  }

  /** Guards against the removal of a cancellation that the owner has not read yet. */
  @Test
  @Tag("known-red")
  void cancellationThatIsRepeatedJustBeforeItsRemovalStays() throws Exception {
    append(records.cancellation(ID));
    removeExpiredAfter(OUTAGE_MILLIS);
    now.addAndGet(3 * OUTAGE_MILLIS);
    while (follower.ageMillis() > 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    follower.stop();
    TimeUnit.MILLISECONDS.sleep(100);
    appended++;
    TableRecord repeated = records.cancellation(ID);
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, appended), List.of(repeated));
    removal.removeExpired(now.get());
    TimeUnit.MILLISECONDS.sleep(100);
    List<TableRecord> all = log.records(Table.WORKFLOWS);
    assertThat(all.get(all.size() - 1).value()).isNotNull();
  }

  /** Guards against cancellations that are kept for good. */
  @Test
  void cancellationIsRemovedAfterTheStateOfItsWorkflow() throws Exception {
    submitAndCancel();
    removeExpiredAfter(OUTAGE_MILLIS);
    removeExpiredAfter(OUTAGE_MILLIS);
    removeExpiredAfter(3 * OUTAGE_MILLIS);
    removeExpiredAfter(OUTAGE_MILLIS);
    append(records.submission(PeerAppendTest.workflow()));
    assertThat(workflows.state(ID)).contains(WorkflowState.PENDING);
  }
}
