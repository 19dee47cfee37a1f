package org.persimmonloom.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.maintenance.MaintenancePlan;
import org.persimmonloom.core.maintenance.MaintenanceRequested;
import org.persimmonloom.core.result.ResultCode;

/**
 * Tests evictions from {@code w1}, which a maintenance wave drains. Each job declares a run time of
 * one minute.
 */
class DrainEvictionTest {
  private static final JobSize SMALL = new JobSize(2, 1_024, 0);
  private static final long LONG_RUN_MILLIS = 3_600_000;

  private final JobFixture fixture = new JobFixture(2);

  private long drain() {
    long now = fixture.nowMillis;
    fixture.accept(
        new MaintenanceRequested(
            "v", List.of(), List.of("w1"), now, now + 86_400_000, 1, 600_000, "op"));
    fixture.accept(new DrainRequested("w1", "v"));
    return fixture.state.hosts().find("w1").orElseThrow().drain().offset();
  }

  private void observeLongRuns() {
    for (int run = 0; run < JobEstimates.MIN_SAMPLES; run++) {
      String job = fixture.submit(SMALL);
      fixture.placeAndStart(job, "w2");
      fixture.accept(new JobFinished(job, 1, LONG_RUN_MILLIS, 1, 900));
    }
  }

  private String startedJob(boolean isRepeatable) {
    String job = fixture.submit(fixture.spec("alpha", SMALL, false, isRepeatable));
    fixture.placeAndStart(job, "w1");
    return job;
  }

  private List<JobEvicted> evictions() {
    return DrainEviction.evictions(fixture.state, "w1", fixture.nowMillis);
  }

  private VisitPlan visit(TaskReport... tasks) {
    JobTable table = fixture.state.jobs();
    long offset = fixture.state.nextOffset();
    long now = fixture.state.timeMillis();
    WorkerRecord record = table.worker("w1").orElseThrow();
    return WorkerVisit.decide(
        new WorkerVisit.FoldView("w1", record, table.liveAt("w1"), offset, offset, now, now),
        new WorkerReport(1, 0, List.of(tasks)));
  }

  private static TaskReport task(String job, TaskState state) {
    return new TaskReport(job, 1, state, 0, 7, 1, 9, 100, "c1", 0, "");
  }

  /**
   * Guards against a wave that is delayed by a long job, and against needless stops of short jobs.
   */
  @Test
  void onlyJobsThatOutlastTheDrainAreStopped() {
    String job = startedJob(true);
    fixture.nowMillis += 30_000;
    long drain = drain();
    assertThat(evictions()).isEmpty();
    fixture.nowMillis += MaintenancePlan.DRAIN_MILLIS;
    assertThat(evictions()).containsExactly(new JobEvicted(job, 1, drain));
  }

  /** Guards against a decision by the declared run time after longer runs were observed. */
  @Test
  void observedRunTimeOverridesTheDeclaredOne() {
    observeLongRuns();
    String job = startedJob(true);
    assertThat(evictions()).isEmpty();
    long drain = drain();
    assertThat(evictions()).containsExactly(new JobEvicted(job, 1, drain));
  }

  /** Guards against a second run of a job that must not be repeated. */
  @Test
  void nonRepeatableJobIsNotEvicted() {
    observeLongRuns();
    String job = startedJob(false);
    long drain = drain();
    assertThat(evictions()).isEmpty();
    assertThat(fixture.resultCode(new JobEvicted(job, 1, drain)))
        .isEqualTo(ResultCode.JOB_STATE_CONFLICT);
  }

  /** Guards against an eviction for a drain that was cancelled before the record was folded. */
  @Test
  void evictionForAnotherDrainIsRejected() {
    String job = startedJob(true);
    assertThat(fixture.resultCode(new JobEvicted(job, 1, 1)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    long drain = drain();
    assertThat(fixture.resultCode(new JobEvicted(job, 1, drain - 1)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
  }

  /**
   * Guards against an eviction that loses the checkpoint, counts as a failure, or never completes
   * because the response to the stop was lost.
   */
  @Test
  void evictedJobResumesElsewhereAlsoIfTheStopResponseWasLost() {
    observeLongRuns();
    String job = startedJob(true);
    fixture.accept(new JobEvicted(job, 1, drain()));
    WorkerRenewed.Ref ref = new WorkerRenewed.Ref(job, 1);
    VisitPlan first = visit(task(job, TaskState.RUNNING));
    assertThat(first.checkpoints()).containsExactly(ref);
    assertThat(first.stops()).containsExactly(ref);
    assertThat(first.renewals()).isEmpty();
    first.proposals().forEach(fixture::accept);
    assertThat(visit().stops()).containsExactly(ref);
    visit(task(job, TaskState.STOPPED)).proposals().forEach(fixture::accept);
    assertThat(fixture.job(job).state()).isEqualTo(JobState.QUEUED);
    assertThat(fixture.job(job).history()).isEqualTo(new JobHistory(1, 0, 0, 0, List.of()));
    assertThat(fixture.resultCode(fixture.placement(job, "w1")))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fixture.placeAndStart(job, "w2");
    assertThat(fixture.job(job).checkpoint()).isEqualTo("c1");
  }
}
