package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests a submission without an answer that is appended after an outage of minutes. */
class LateSubmissionTest {
  private static final String ID = PeerAppendTest.workflow().id();

  /** Longer than ended workflows are shown, and shorter than late submissions are expected. */
  private static final long OUTAGE_MILLIS = 300_000;

  private final WorkflowRecords records = new WorkflowRecords();
  private final RemovalFixture owner = new RemovalFixture();

  @BeforeEach
  void start() {
    owner.start();
  }

  @AfterEach
  void stop() {
    owner.stop();
  }

  private void submitAndCancel() throws InterruptedException {
    owner.append(records.submission(PeerAppendTest.workflow()));
    owner.append(records.cancellation(ID));
    end(WorkflowState.CANCELLED);
  }

  private void end(WorkflowState state) throws InterruptedException {
    int[] runs = {0};
    owner.append(
        records.progress(
            ID,
            0,
            new OccurrenceProgress("q", state, new byte[0], runs, new int[1][0], owner.now.get())));
    owner.append(records.submissionRemoval(ID));
  }

  /** Guards against tasks of a workflow whose cancellation was acknowledged minutes before. */
  @Test
  void submissionAfterTheStateOfACancelledWorkflowWasRemovedStartsNothing() throws Exception {
    submitAndCancel();
    owner.removeExpiredAfter(OUTAGE_MILLIS);
    assertThat(owner.workflows.state(ID)).isEmpty();
    owner.append(records.submission(PeerAppendTest.workflow()));
    assertThat(owner.workflows.state(ID)).contains(WorkflowState.CANCELLED);
  }

  /** Guards against work that is done a second time. */
  @Test
  @Tag("known-red")
  void submissionAfterTheStateOfACompleteWorkflowWasRemovedStartsNothing() throws Exception {
    owner.append(records.submission(PeerAppendTest.workflow()));
    end(WorkflowState.COMPLETE);
    owner.removeExpiredAfter(OUTAGE_MILLIS);
    owner.append(records.submission(PeerAppendTest.workflow()));
    assertThat(owner.workflows.state(ID)).isNotEqualTo(Optional.of(WorkflowState.PENDING));
  }

  /** Guards against the removal of a cancellation that the owner has not read yet. */
  @Test
  @Tag("known-red")
  void cancellationThatIsRepeatedJustBeforeItsRemovalStays() throws Exception {
    owner.append(records.cancellation(ID));
    owner.removeExpiredAfter(OUTAGE_MILLIS);
    owner.pass(3 * OUTAGE_MILLIS);
    owner.follower.stop();
    TimeUnit.MILLISECONDS.sleep(100);
    owner.appendUnread(records.cancellation(ID));
    owner.removal.removeExpired(owner.now.get());
    TimeUnit.MILLISECONDS.sleep(100);
    assertThat(owner.newest().value()).isNotNull();
  }

  /** Guards against cancellations that are kept for good. */
  @Test
  void cancellationIsRemovedAfterTheStateOfItsWorkflow() throws Exception {
    submitAndCancel();
    owner.removeExpiredAfter(OUTAGE_MILLIS);
    owner.removeExpiredAfter(OUTAGE_MILLIS);
    owner.removeExpiredAfter(3 * OUTAGE_MILLIS);
    owner.removeExpiredAfter(OUTAGE_MILLIS);
    owner.append(records.submission(PeerAppendTest.workflow()));
    assertThat(owner.workflows.state(ID)).contains(WorkflowState.PENDING);
  }
}
