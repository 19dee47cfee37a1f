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

  private JobSpec specWithRunTime(JobSize size, long runMillis) {
    JobSpec spec = fixture.spec("alpha", size, false, true);
    return new JobSpec(
        spec.job(), "alpha", spec.kind(), spec.service(), size, runMillis, false, true);
  }

  /** Plans, then places and starts the planned jobs; the fold must accept an up-to-date plan. */
  private List<JobPlaced> planAndPlace() {
    List<JobPlaced> placed =
        plan().proposals().stream()
            .filter(JobPlaced.class::isInstance)
            .map(JobPlaced.class::cast)
            .toList();
    long offset = fixture.state.nextOffset();
    for (JobPlaced placement : placed) {
      assertThat(placement.plannedOffset()).isEqualTo(offset);
      fixture.placeAndStart(placement.job(), placement.worker());
    }
    return placed;
  }

  /** Guards against an urgent job that is placed after an older job. */
  @Test
  void urgentJobsComeFirst() {
    fixture.submit(WHOLE);
    String urgent = fixture.submit(fixture.spec("alpha", WHOLE, true, true));
    assertThat(planAndPlace()).first().extracting(JobPlaced::job).isEqualTo(urgent);
  }

  /** Guards against a team that starves another team with a lower share of its quota. */
  @Test
  void teamWithLowerShareComesFirst() {
    fixture.placeAndStart(fixture.submit(WHOLE), "w1");
    fixture.submit(HALF);
    String betaJob = fixture.submit(fixture.spec("beta", HALF, false, true));
    assertThat(plan().proposals())
        .first()
        .isInstanceOfSatisfying(
            JobPlaced.class, placed -> assertThat(placed.job()).isEqualTo(betaJob));
  }

  /** Guards against a job that never runs because its team always uses a larger share. */
  @Test
  void longWaitOutweighsLowerShare() {
    fixture.placeAndStart(fixture.submit(WHOLE), "w1");
    String waitingJob = fixture.submit(HALF);
    fixture.nowMillis += FairShareQueue.AGING_MILLIS;
    fixture.submit(fixture.spec("beta", SMALL, false, true));
    assertThat(plan().proposals())
        .first()
        .isInstanceOfSatisfying(
            JobPlaced.class, placed -> assertThat(placed.job()).isEqualTo(waitingJob));
  }

  /** Guards against placement at a worker that is drained before the job is expected to end. */
  @Test
  void workerThatIsDrainedSoonIsAvoided() {
    String job = fixture.submit(SMALL);
    MaintenanceForecast outlook =
        host ->
            host.equals("w1") ? OptionalLong.of(fixture.nowMillis + 59_999) : OptionalLong.empty();
    assertThat(plan(outlook).proposals())
        .containsExactly(new JobPlaced(job, 1, "w2", SMALL, fixture.state.nextOffset()));
  }

  /** Guards against small jobs that starve a large one, and against an idle reserved worker. */
  @Test
  void largeJobGetsAReservation() {
    fixture.placeAndStart(fixture.submit(HALF), "w1");
    fixture.placeAndStart(fixture.submit(HALF), "w2");
    final String large = fixture.submit(WHOLE);
    fixture.nowMillis += Reservations.RESERVE_AFTER_MILLIS;
    long endMillis = fixture.nowMillis + Reservations.RESERVE_AFTER_MILLIS / 2;
    JobSize quarter = new JobSize(4, 1_024, 0);
    String firstLong = fixture.submit(specWithRunTime(HALF, endMillis - fixture.nowMillis + 1));
    fixture.submit(specWithRunTime(HALF, endMillis - fixture.nowMillis + 1));
    String shortJob = fixture.submit(specWithRunTime(quarter, endMillis - fixture.nowMillis));
    List<JobPlaced> placed = planAndPlace();
    assertThat(placed).extracting(JobPlaced::job).containsExactly(firstLong, shortJob);
    String reserved = placed.get(0).worker().equals("w1") ? "w2" : "w1";
    for (Job ending : fixture.state.jobs().liveAt(reserved)) {
      fixture.accept(new JobFinished(ending.name(), 1, 1, 1, 1));
    }
    assertThat(planAndPlace()).extracting(JobPlaced::job).containsExactly(large);
  }

  /** Guards against an urgent job that waits for long jobs, and against needless preemptions. */
  @Test
  void urgentJobPreemptsTheYoungestAttemptOnce() {
    fixture.placeAndStart(fixture.submit(WHOLE), "w1");
    fixture.nowMillis += 5_000;
    String young = fixture.submit(WHOLE);
    fixture.placeAndStart(young, "w2");
    String urgent = fixture.submit(fixture.spec("alpha", SMALL, true, true));
    JobPreempted expected = new JobPreempted(young, 1, urgent);
    assertThat(plan().proposals()).containsExactly(expected);
    fixture.accept(expected);
    assertThat(plan().proposals()).isEmpty();
    fixture.accept(new JobStopped(young, 1));
    assertThat(planAndPlace()).extracting(JobPlaced::job).contains(urgent);
  }

  /** Guards against jobs that wait forever because they can never run. */
  @Test
  void jobLargerThanAnyWorkerIsParked() {
    String job = fixture.submit(new JobSize(17, 1, 0));
    assertThat(plan().proposals())
        .first()
        .isInstanceOfSatisfying(JobParked.class, parked -> assertThat(parked.job()).isEqualTo(job));
  }

  /** Guards against reservations of declared sizes that are far from the observed use. */
  @Test
  void observedSizeReplacesTheDeclaredOne() {
    for (int i = 0; i < JobEstimates.MIN_SAMPLES; i++) {
      fixture.finish(fixture.submit(HALF), "w1");
    }
    fixture.submit(HALF);
    JobSize observed = new JobSize(1, 1_125, 0);
    assertThat(planAndPlace()).extracting(JobPlaced::size).containsExactly(observed);
  }

  /** Guards against repeated attempts on the worker where the job failed. */
  @Test
  void jobAvoidsTheWorkerWhereItFailed() {
    String job = fixture.submit(SMALL);
    fixture.fail(job, "w1", FailureCause.ERROR);
    assertThat(planAndPlace()).extracting(JobPlaced::worker).containsExactly("w2");
  }

  /** Guards against the quarantine of a worker because of faulty jobs. */
  @Test
  void onlyJobsThatSucceedElsewhereLeadToQuarantine() {
    for (int i = 0; i < WorkerEvents.MIN_CHARGES; i++) {
      assertThat(QuarantinePlanner.plan(fixture.state.jobs(), fixture.state.nextOffset()))
          .isEmpty();
      String job = fixture.submit(SMALL);
      fixture.fail(job, "w1", FailureCause.ERROR);
      fixture.finish(job, "w2");
    }
    List<WorkerQuarantined> quarantines =
        QuarantinePlanner.plan(fixture.state.jobs(), fixture.state.nextOffset());
    assertThat(quarantines).extracting(WorkerQuarantined::worker).containsExactly("w1");
    assertThat(fixture.resultCode(quarantines.get(0))).isEqualTo(ResultCode.HOST_STATE_CONFLICT);
  }
}
