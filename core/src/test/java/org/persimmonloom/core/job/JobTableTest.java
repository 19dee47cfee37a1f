package org.persimmonloom.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.ResultCode;

class JobTableTest {
  private static final JobSize SMALL = new JobSize(2, 1_024, 0);
  private static final JobSize WHOLE = new JobSize(16, 1_024, 0);

  private final JobFixture fixture = new JobFixture(8);

  /** Guards against a repeated submission that runs the job twice. */
  @Test
  void repeatedSubmissionHasNoEffect() {
    JobSpec spec = fixture.spec("alpha", SMALL, false, false);
    fixture.submit(spec);
    fixture.finish(spec.job(), "w1");
    assertThat(fixture.resultCode(new JobSubmitted(spec))).isEqualTo(ResultCode.ALREADY_APPLIED);
    fixture.nowMillis += JobTable.SUBMIT_WINDOW_MILLIS + JobTable.MAX_AHEAD_MILLIS + 1;
    assertThat(fixture.resultCode(new JobSubmitted(spec))).isEqualTo(ResultCode.JOB_INVALID);
    assertThat(fixture.state.jobs().find(spec.job())).isEmpty();
  }

  /** Guards against placements beyond a worker's capacity or a team's quota. */
  @Test
  void placementRespectsCapacityAndQuota() {
    fixture.placeAndStart(fixture.submit(new JobSize(15, 1_024, 0)), "w1");
    String second = fixture.submit(SMALL);
    assertThat(fixture.resultCode(fixture.placement(second, "w1")))
        .isEqualTo(ResultCode.NO_CAPACITY);
    JobSize large = new JobSize(6, 1_024, 0);
    fixture.placeAndStart(fixture.submit(fixture.spec("beta", large, false, true)), "w2");
    String third = fixture.submit(fixture.spec("beta", large, false, true));
    assertThat(fixture.resultCode(fixture.placement(third, "w3")))
        .isEqualTo(ResultCode.QUOTA_EXCEEDED);
  }

  /** Guards against a placement at a worker that changed after the plan was computed. */
  @Test
  void stalePlanIsRejected() {
    String first = fixture.submit(SMALL);
    String second = fixture.submit(SMALL);
    JobPlaced stalePlacement = fixture.placement(second, "w1");
    fixture.placeAndStart(first, "w1");
    assertThat(fixture.resultCode(stalePlacement)).isEqualTo(ResultCode.PLAN_STALE);
    assertThat(fixture.resultCode(fixture.placement(second, "w1"))).isEqualTo(ResultCode.OK);
  }

  /** Guards against a second live attempt while the first may still run. */
  @Test
  void jobIsPlacedElsewhereOnlyAfterItsLeaseExpired() {
    String job = fixture.submit(SMALL);
    fixture.placeAndStart(job, "w1");
    assertThat(fixture.resultCode(fixture.placement(job, "w2")))
        .isEqualTo(ResultCode.JOB_STATE_CONFLICT);
    fixture.nowMillis += LeaseRules.FOLD_LEASE_MILLIS + LeaseRules.EXPIRY_MARGIN_MILLIS - 1;
    JobLeaseExpired expired = new JobLeaseExpired(job, 1, false);
    assertThat(fixture.resultCode(expired)).isEqualTo(ResultCode.JOB_STATE_CONFLICT);
    fixture.nowMillis++;
    assertThat(fixture.resultCode(expired)).isEqualTo(ResultCode.OK);
    fixture.placeAndStart(job, "w2");
    assertThat(fixture.job(job).live().number()).isEqualTo(2);
    assertThat(fixture.resultCode(new JobFinished(job, 1, 1, 1, 1)))
        .isEqualTo(ResultCode.LEASE_STALE);
  }

  /** Guards against an entry host that proposes records after a pause longer than the lease. */
  @Test
  void progressAfterTheLeaseIsRejected() {
    String job = fixture.submit(SMALL);
    fixture.accept(fixture.placement(job, "w1"));
    fixture.nowMillis += LeaseRules.FOLD_LEASE_MILLIS;
    assertThat(fixture.resultCode(new JobStarted(job, 1))).isEqualTo(ResultCode.LEASE_STALE);
    assertThat(fixture.resultCode(new JobCheckpointed(job, 1, "c")))
        .isEqualTo(ResultCode.LEASE_STALE);
    var refs = List.of(new WorkerRenewed.Ref(job, 1));
    long offset = fixture.state.nextOffset();
    assertThat(fixture.resultCode(new WorkerRenewed("w1", 1, offset, refs)))
        .isEqualTo(ResultCode.LEASE_STALE);
  }

  /** Guards against a renewal by a report that is older than the record of the silence. */
  @Test
  void reportBeforeTheSilenceDoesNotEndIt() {
    long observed = fixture.state.nextOffset();
    fixture.accept(new WorkerSilent("w1", 1));
    String job = fixture.submit(SMALL);
    assertThat(fixture.resultCode(new WorkerRenewed("w1", 1, observed, List.of())))
        .isEqualTo(ResultCode.PLAN_STALE);
    assertThat(fixture.resultCode(fixture.placement(job, "w1")))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fixture.accept(new WorkerRenewed("w1", 1, fixture.state.nextOffset(), List.of()));
    assertThat(fixture.resultCode(fixture.placement(job, "w1"))).isEqualTo(ResultCode.OK);
  }

  /** Guards against a second run of a job that must not be repeated. */
  @Test
  void lostNonRepeatableJobHasUnknownOutcome() {
    String job = fixture.submit(fixture.spec("alpha", SMALL, false, false));
    fixture.accept(fixture.placement(job, "w1"));
    fixture.accept(new WorkerRenewed("w1", 2, fixture.state.nextOffset(), List.of()));
    assertThat(fixture.job(job).state()).isEqualTo(JobState.OUTCOME_UNKNOWN);
    assertThat(fixture.state.jobs().usedByWorker("w1")).isEqualTo(JobSize.NONE);
    assertThat(
            fixture.resultCode(new WorkerRenewed("w1", 1, fixture.state.nextOffset(), List.of())))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
  }

  /**
   * Guards against resources that are released too early, or never, when a job is cancelled while
   * it starts.
   */
  @Test
  void cancelledStartKeepsItsResourcesUntilTheWorkerStopped() {
    String job = fixture.submit(SMALL);
    fixture.accept(fixture.placement(job, "w1"));
    fixture.accept(new JobCancelled(job, "operator"));
    assertThat(fixture.state.jobs().usedByWorker("w1")).isEqualTo(SMALL);
    fixture.accept(new JobStopped(job, 1));
    assertThat(fixture.job(job).state()).isEqualTo(JobState.CANCELLED);
    assertThat(fixture.state.jobs().usedByWorker("w1")).isEqualTo(JobSize.NONE);
    assertThat(fixture.state.jobs().usedByTeam("alpha")).isEqualTo(JobSize.NONE);
  }

  /** Guards against a job that is preempted without limit or loses its checkpoint. */
  @Test
  void preemptionIsBoundedAndKeepsTheCheckpoint() {
    String urgent = fixture.submit(fixture.spec("alpha", WHOLE, true, true));
    String job = fixture.submit(SMALL);
    for (int i = 1; i <= JobEvents.MAX_PREEMPTIONS; i++) {
      fixture.placeAndStart(job, "w1");
      fixture.accept(new JobCheckpointed(job, i, "c" + i));
      fixture.accept(new JobPreempted(job, i, urgent));
      fixture.accept(new JobStopped(job, i));
      assertThat(fixture.job(job).checkpoint()).isEqualTo("c" + i);
    }
    fixture.placeAndStart(job, "w1");
    assertThat(fixture.resultCode(new JobPreempted(job, JobEvents.MAX_PREEMPTIONS + 1, urgent)))
        .isEqualTo(ResultCode.JOB_STATE_CONFLICT);
  }

  /** Guards against a faulty job that is retried on one worker after another. */
  @Test
  void jobThatFailsOnThreeHealthyWorkersIsParkedUntilReleased() {
    String job = fixture.submit(SMALL);
    for (String worker : List.of("w1", "w2", "w3")) {
      fixture.fail(job, worker, FailureCause.ERROR);
    }
    assertThat(fixture.job(job).state()).isEqualTo(JobState.PARKED);
    assertThat(fixture.job(job).reason()).contains("[w1, w2, w3]", "exit 1");
    fixture.accept(new JobReleased(job, "operator"));
    assertThat(fixture.job(job).state()).isEqualTo(JobState.QUEUED);
  }

  /** Guards against retries after an out-of-memory kill that get no more memory or never end. */
  @Test
  void outOfMemoryKillDoublesTheReservationUntilTheJobIsParked() {
    String job = fixture.submit(SMALL);
    fixture.fail(job, "w1", FailureCause.OUT_OF_MEMORY);
    assertThat(fixture.job(job).memoryFloorMb()).isEqualTo(2_048);
    JobPlaced unchangedSize = new JobPlaced(job, 2, "w1", SMALL, fixture.state.nextOffset());
    assertThat(fixture.resultCode(unchangedSize)).isEqualTo(ResultCode.NO_CAPACITY);
    for (int i = 2; i <= JobEvents.MAX_MEMORY_KILLS; i++) {
      fixture.fail(job, "w1", FailureCause.OUT_OF_MEMORY);
    }
    assertThat(fixture.job(job).state()).isEqualTo(JobState.PARKED);
  }

  /** Guards against placement at a faulty worker, and against the quarantine of a whole pool. */
  @Test
  void faultyWorkerIsQuarantinedUntilATestJobSucceeds() {
    for (String worker : List.of("w1", "w2", "w3")) {
      for (int i = 0; i < WorkerEvents.MIN_CHARGES; i++) {
        String job = fixture.submit(SMALL);
        fixture.fail(job, worker, FailureCause.ERROR);
        fixture.finish(job, "w8");
      }
    }
    assertThat(quarantine("w1")).isEqualTo(ResultCode.OK);
    assertThat(quarantine("w2")).isEqualTo(ResultCode.OK);
    assertThat(quarantine("w3")).isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    assertThat(quarantine("w4")).isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    String test = fixture.submit(SMALL);
    assertThat(fixture.resultCode(fixture.placement(test, "w1")))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fixture.nowMillis += PlacementCheck.TEST_JOB_DELAY_MILLIS;
    fixture.finish(test, "w1");
    assertThat(fixture.state.jobs().worker("w1").orElseThrow().isQuarantined()).isFalse();
  }

  private ResultCode quarantine(String worker) {
    return fixture.resultCode(
        new WorkerQuarantined(worker, fixture.state.nextOffset(), "3 of 3 failed"));
  }

  /** Guards against sums or indices that are missing after a restart. */
  @Test
  void snapshotRestoresTheWholeTable() {
    fixture.placeAndStart(fixture.submit(SMALL), "w1");
    fixture.finish(fixture.submit(SMALL), "w2");
    fixture.submit(SMALL);
    byte[] bytes = ProposalTypes.CODEC.encode(fixture.state.snapshot());
    FleetState restored = new FleetState();
    restored.restore(ProposalTypes.CODEC.decode(bytes, FleetSnapshot.class).get());
    assertThat(ProposalTypes.CODEC.encode(restored.snapshot())).isEqualTo(bytes);
    assertThat(restored.jobs().usedByWorker("w1")).isEqualTo(SMALL);
    assertThat(restored.jobs().queued()).hasSize(1);
    assertThat(restored.jobs().liveAt("w1")).hasSize(1);
  }
}
