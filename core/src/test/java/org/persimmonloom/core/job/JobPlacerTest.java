package org.persimmonloom.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.result.ResultCode;

class JobPlacerTest {
  private static final JobSize SMALL = new JobSize(2, 1_024, 0);
  private static final JobSize HALF = new JobSize(8, 1_024, 0);
  private static final JobSize WHOLE = new JobSize(16, 1_024, 0);

  private final JobFixture fixture = new JobFixture(2);

  private JobPlan plan(MaintenanceForecast outlook) {
    return JobPlacer.plan(PlanningState.of(fixture.state, outlook), fixture.nowMillis);
  }

  private JobPlan plan() {
    return plan(MaintenanceForecast.NONE);
  }

  private JobSpec lasting(JobSize size, long runMillis) {
    JobSpec spec = fixture.spec("alpha", size, false, true);
    return new JobSpec(
        spec.job(), "alpha", spec.kind(), spec.service(), size, runMillis, false, true);
  }

  /** Plans and proposes the result, which a plan that is up to date must survive. */
  private List<JobPlaced> apply() {
    List<JobPlaced> placed =
        plan().proposals().stream()
            .filter(JobPlaced.class::isInstance)
            .map(JobPlaced.class::cast)
            .toList();
    long offset = fixture.state.nextOffset();
    for (JobPlaced it : placed) {
      assertThat(it.plannedOffset()).isEqualTo(offset);
      fixture.run(it.job(), it.worker());
    }
    return placed;
  }

  /** Guards against urgent work that waits behind older work. */
  @Test
  void urgentJobsComeFirst() {
    fixture.submit(WHOLE);
    String urgent = fixture.submit(fixture.spec("alpha", WHOLE, true, true));
    assertThat(apply()).first().extracting(JobPlaced::job).isEqualTo(urgent);
  }

  /** Guards against a busy team that crowds out a team below its share. */
  @Test
  void teamWithLowerShareComesFirst() {
    fixture.run(fixture.submit(WHOLE), "w1");
    fixture.submit(HALF);
    String other = fixture.submit(fixture.spec("beta", HALF, false, true));
    assertThat(plan().proposals())
        .first()
        .isInstanceOfSatisfying(JobPlaced.class, it -> assertThat(it.job()).isEqualTo(other));
  }

  /** Guards against a job that never runs because its team always uses a larger share. */
  @Test
  void waitingOutweighsShare() {
    fixture.run(fixture.submit(WHOLE), "w1");
    String old = fixture.submit(HALF);
    fixture.nowMillis += FairShareQueue.AGING_MILLIS;
    fixture.submit(fixture.spec("beta", SMALL, false, true));
    assertThat(plan().proposals())
        .first()
        .isInstanceOfSatisfying(JobPlaced.class, it -> assertThat(it.job()).isEqualTo(old));
  }

  /** Guards against placement where maintenance begins before the job is likely to end. */
  @Test
  void workerThatIsDrainedSoonIsAvoided() {
    String job = fixture.submit(SMALL);
    MaintenanceForecast outlook =
        host ->
            host.equals("w1") ? OptionalLong.of(fixture.nowMillis + 59_999) : OptionalLong.empty();
    assertThat(plan(outlook).proposals())
        .containsExactly(new JobPlaced(job, 1, "w2", SMALL, fixture.state.nextOffset()));
  }

  /** Guards against a large job that small ones starve, and against an idle reserved worker. */
  @Test
  void largeJobGetsAWorkerReserved() {
    fixture.run(fixture.submit(HALF), "w1");
    fixture.run(fixture.submit(HALF), "w2");
    final String large = fixture.submit(WHOLE);
    fixture.nowMillis += Reservations.RESERVE_AFTER_MILLIS;
    long endMillis = fixture.nowMillis + Reservations.RESERVE_AFTER_MILLIS / 2;
    JobSize quarter = new JobSize(4, 1_024, 0);
    String long1 = fixture.submit(lasting(HALF, endMillis - fixture.nowMillis + 1));
    fixture.submit(lasting(HALF, endMillis - fixture.nowMillis + 1));
    String short1 = fixture.submit(lasting(quarter, endMillis - fixture.nowMillis));
    List<JobPlaced> placed = apply();
    assertThat(placed).extracting(JobPlaced::job).containsExactly(long1, short1);
    String kept = placed.get(0).worker().equals("w1") ? "w2" : "w1";
    for (Job ending : fixture.state.jobs().liveAt(kept)) {
      fixture.accept(new JobFinished(ending.name(), 1, 1, 1, 1));
    }
    assertThat(apply()).extracting(JobPlaced::job).containsExactly(large);
  }

  /** Guards against urgent work that waits for long work, and against needless preemptions. */
  @Test
  void urgentJobPreemptsTheYoungestAttemptOnce() {
    fixture.run(fixture.submit(WHOLE), "w1");
    fixture.nowMillis += 5_000;
    String young = fixture.submit(WHOLE);
    fixture.run(young, "w2");
    String urgent = fixture.submit(fixture.spec("alpha", SMALL, true, true));
    JobPreempted expected = new JobPreempted(young, 1, urgent);
    assertThat(plan().proposals()).containsExactly(expected);
    fixture.accept(expected);
    assertThat(plan().proposals()).isEmpty();
    fixture.accept(new JobStopped(young, 1));
    assertThat(apply()).extracting(JobPlaced::job).contains(urgent);
  }

  /** Guards against jobs that can never run and wait for ever. */
  @Test
  void impossibleJobIsParked() {
    String job = fixture.submit(new JobSize(17, 1, 0));
    assertThat(plan().proposals())
        .first()
        .isInstanceOfSatisfying(JobParked.class, it -> assertThat(it.job()).isEqualTo(job));
  }

  /** Guards against reservations by declared sizes that are far off. */
  @Test
  void learnedSizeReplacesTheDeclaration() {
    for (int i = 0; i < JobEstimates.MIN_SAMPLES; i++) {
      fixture.finish(fixture.submit(HALF), "w1");
    }
    fixture.submit(HALF);
    JobSize learned = new JobSize(1, 1_125, 0);
    assertThat(apply()).extracting(JobPlaced::size).containsExactly(learned);
  }

  /** Guards against repeated attempts on the worker where the job failed. */
  @Test
  void jobAvoidsTheWorkerWhereItFailed() {
    String job = fixture.submit(SMALL);
    fixture.fail(job, "w1", FailureCause.ERROR);
    assertThat(apply()).extracting(JobPlaced::worker).containsExactly("w2");
  }

  /** Guards against a worker that is judged by failures that were the job's own. */
  @Test
  void onlyFailuresThatSucceedElsewhereLeadToQuarantine() {
    for (int i = 0; i < WorkerEvents.MIN_CHARGES; i++) {
      assertThat(QuarantinePlanner.plan(fixture.state.jobs(), fixture.state.nextOffset()))
          .isEmpty();
      String job = fixture.submit(SMALL);
      fixture.fail(job, "w1", FailureCause.ERROR);
      fixture.finish(job, "w2");
    }
    List<WorkerQuarantined> judged =
        QuarantinePlanner.plan(fixture.state.jobs(), fixture.state.nextOffset());
    assertThat(judged).extracting(WorkerQuarantined::worker).containsExactly("w1");
    assertThat(fixture.code(judged.get(0))).isEqualTo(ResultCode.HOST_STATE_CONFLICT);
  }
}
