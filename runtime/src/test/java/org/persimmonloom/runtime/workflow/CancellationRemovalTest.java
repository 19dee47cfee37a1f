package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;

/** Tests when an owner removes the cancellations of workflows that nobody has submitted. */
class CancellationRemovalTest {
  private static final String ID = PeerAppendTest.workflow().id();

  /** Longer than the owner keeps the records. */
  private static final long LONG_MILLIS = 3_600_000;

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

  /** Lets the owner look for expired records after some time, and returns the newest record. */
  private TableRecord newestAfter(long millis) throws InterruptedException {
    owner.removeExpiredAfter(millis);
    return owner.newest();
  }

  /** Guards against records that stay for good, and against a removal before a late submission. */
  @Test
  void cancellationOfAnUnknownWorkflowIsRemovedMuchLater() throws Exception {
    owner.append(records.cancellation(ID));
    assertThat(newestAfter(0).value()).isNotNull();
    assertThat(newestAfter(2 * RemovalFixture.STATUS_KEPT_MILLIS).value()).isNotNull();
    TableRecord newest = newestAfter(LONG_MILLIS);
    assertThat(newest.key()).isEqualTo(records.cancellationRemoval(ID).key());
    assertThat(newest.value()).isNull();
    assertThat(owner.workflows.unsubmittedCancellations()).isEmpty();
  }

  /** Guards against a removal that follows a repeated cancellation at once. */
  @Test
  void repeatedCancellationIsKeptAsLongAsTheFirst() throws Exception {
    owner.append(records.cancellation(ID));
    newestAfter(0);
    owner.append(records.cancellation(ID));
    assertThat(newestAfter(LONG_MILLIS).value()).isNotNull();
    assertThat(newestAfter(LONG_MILLIS).value()).isNull();
  }

  /** Guards against the removal of the cancellation of a workflow that was submitted after it. */
  @Test
  void cancellationOfASubmittedWorkflowStays() throws Exception {
    owner.append(records.cancellation(ID));
    newestAfter(0);
    owner.append(records.submission(PeerAppendTest.workflow()));
    newestAfter(LONG_MILLIS);
    assertThat(newestAfter(LONG_MILLIS).value()).isNotNull();
  }

  /** Guards against a removal by an owner that cannot have read a submission. */
  @Test
  void ownerThatCannotReadRemovesNoCancellation() throws Exception {
    owner.append(records.cancellation(ID));
    newestAfter(0);
    owner.log.isDown = true;
    while (owner.follower.isAvailable()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    newestAfter(LONG_MILLIS);
    owner.log.isDown = false;
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(newestAfter(0).value()).isNotNull();
    assertThat(newestAfter(LONG_MILLIS).value()).isNull();
  }
}
