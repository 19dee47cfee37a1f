package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.LeaseHolderRecords;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

class WorkflowReplicaTest {
  private final WorkflowRecords records = new WorkflowRecords();
  private final WorkflowReplica replica = new WorkflowReplica();
  private long offset;

  private void apply(TableRecord record) {
    replica.apply(new StoredRecord(offset++, record));
  }

  /**
   * Guards against a takeover that takes longer with each workflow that has ended; a new owner
   * handled 1,700 of them before it first ordered a start.
   */
  @Test
  void endedWorkflowsAreNotPassedToANewOwner() {
    apply(records.cancellation("ended"));
    apply(records.submission(PeerAppendTest.workflow()));
    List<String> passed = new ArrayList<>();
    replica.setObserver((entry, isBacklog) -> passed.add(entry.id()));
    assertThat(passed).containsExactly(PeerAppendTest.workflow().id());
    apply(records.cancellation("later"));
    assertThat(passed).contains("later");
  }

  /** Guards against a workflow that nobody has submitted and that is shown all the same. */
  @Test
  void cancellationOfAnUnknownWorkflowIsNotShown() {
    WorkflowSpec spec = PeerAppendTest.workflow();
    apply(records.cancellation(spec.id()));
    assertThat(replica.state(spec.id())).isEmpty();
    assertThat(replica.pendingCount("q")).isZero();
    apply(records.submission(spec));
    assertThat(replica.state(spec.id())).contains(WorkflowState.CANCELLED);
    assertThat(replica.pendingCount("q")).isZero();
  }

  /**
   * Guards against an owner that copies all progress of a workflow for each record of it: a series
   * of 16,000 occurrences stopped its work for 12 s.
   */
  @Test
  void recordsOfProgressAreNotPassedToTheOwner() {
    WorkflowSpec spec = PeerAppendTest.workflow();
    apply(records.submission(spec));
    List<String> passed = new ArrayList<>();
    replica.setObserver((entry, isBacklog) -> passed.add(entry.id()));
    passed.clear();
    apply(
        records.progress(
            spec.id(),
            0,
            new OccurrenceProgress(
                "q", WorkflowState.COMPLETE, new byte[] {1}, new int[] {1}, new int[][] {{}}, 1)));
    assertThat(passed).isEmpty();
    apply(records.submissionRemoval(spec.id()));
    assertThat(passed).containsExactly(spec.id());
  }

  /**
   * Guards against a new owner that does not know of a worker without an entry in the published
   * list. The record of a worker stays in force until it is removed, and over a load of the table.
   */
  @Test
  void recordedWorkersAreKnownUntilTheirRecordsAreRemoved() {
    LeaseHolderRecords holders = new LeaseHolderRecords();
    WorkerFacts worker =
        new WorkerFacts(
            "w1",
            "10.0.0.1:80",
            "s",
            "a",
            false,
            new Resources(4_000, 8_000, 0),
            Set.of("kind-a"),
            1);
    TableFollower.Load load = replica.beginLoad();
    load.add(new StoredRecord(offset++, holders.record(worker)));
    load.publish();
    apply(new TableRecord("w.w2", new byte[] {1}));
    assertThat(replica.leaseHolders()).containsExactly(worker);
    apply(holders.removal("w1"));
    assertThat(replica.leaseHolders()).isEmpty();
  }

  /**
   * Guards against an owner that goes on with its orders although a newer one has taken over: the
   * takeover was read after the owner had loaded its table and before it observed the replica.
   */
  @Test
  void takeoverThatWasReadBeforeIsPassedToTheObserver() {
    apply(records.takeover(7));
    List<Long> fences = new ArrayList<>();
    replica.setObserver(
        new WorkflowReplica.Observer() {
          @Override
          public void workflowChanged(WorkflowEntry entry, boolean isBacklog) {}

          @Override
          public void takeoverRead(long fence) {
            fences.add(fence);
          }
        });
    assertThat(fences).containsExactly(7L);
    TableFollower.Load load = replica.beginLoad();
    load.add(new StoredRecord(offset++, records.takeover(9)));
    assertThat(fences).containsExactly(7L);
    load.publish();
    assertThat(fences).containsExactly(7L, 9L);
  }

  /**
   * Guards against an owner that is passed all ended workflows again after a load, and against one
   * that goes on with a workflow whose submission was removed before the load.
   */
  @Test
  void loadPassesWorkflowsThatAreOrWereSubmitted() {
    apply(records.cancellation("ended"));
    apply(records.submission(PeerAppendTest.workflow()));
    List<String> passed = new ArrayList<>();
    replica.setObserver(
        (entry, isBacklog) -> passed.add(entry.id() + " " + entry.spec().isPresent()));
    passed.clear();
    TableFollower.Load load = replica.beginLoad();
    load.add(new StoredRecord(0, records.cancellation("ended")));
    load.publish();
    assertThat(passed).containsExactly(PeerAppendTest.workflow().id() + " false");
  }
}
