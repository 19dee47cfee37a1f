package org.persimmonloom.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.persimmonloom.core.fold.Proposal;

class WorkerVisitTest {
  private static final JobSize SMALL = new JobSize(2, 1_024, 0);

  private final JobFixture fixture = new JobFixture(1);

  private VisitPlan visit(long boot, long elapsedMillis, TaskReport... tasks) {
    JobTable table = fixture.state.jobs();
    long offset = fixture.state.nextOffset();
    WorkerVisit.FoldView view =
        new WorkerVisit.FoldView(
            "w1",
            table.worker("w1").orElseThrow(),
            table.liveAt("w1"),
            offset,
            offset,
            fixture.state.timeMillis(),
            fixture.state.timeMillis() + elapsedMillis);
    return WorkerVisit.decide(view, new WorkerReport(boot, 0, List.of(tasks)));
  }

  private static TaskReport task(String job, TaskState state, long placedOffset) {
    return new TaskReport(job, 1, state, placedOffset, 7, 1, 9, 100, "", 0, "exit 1");
  }

  private String placedJob() {
    String job = fixture.submit(SMALL);
    fixture.accept(fixture.placement(job, "w1"));
    return job;
  }

  private static WorkerRenewed.Ref ref(String job) {
    return new WorkerRenewed.Ref(job, 1);
  }

  /** Guards against starts and renewals that could outlive the fold's lease. */
  @Test
  void nothingIsStartedOrRenewedWhenTheLeaseMayHaveExpired() {
    String first = placedJob();
    String second = placedJob();
    TaskReport running = task(second, TaskState.RUNNING, 0);
    VisitPlan early = visit(1, LeaseRules.FOLD_LEASE_MILLIS - 1, running);
    assertThat(early.starts()).extracting(Job::name).containsExactly(first);
    assertThat(early.renewals()).containsExactly(ref(second));
    VisitPlan late = visit(1, LeaseRules.FOLD_LEASE_MILLIS, running);
    assertThat(late.starts()).isEmpty();
    assertThat(late.renewals()).isEmpty();
  }

  /** Guards against a second run of an attempt that the worker no longer reports. */
  @Test
  void startedAttemptIsNotStartedAgain() {
    fixture.placeAndStart(fixture.submit(SMALL), "w1");
    assertThat(visit(1, 0).starts()).isEmpty();
  }

  /** Guards against a start that was planned for an earlier boot. */
  @Test
  void rebootedWorkerIsOnlyRegistered() {
    placedJob();
    VisitPlan plan = visit(2, 0);
    assertThat(plan.starts()).isEmpty();
    assertThat(plan.proposals()).hasOnlyElementsOfType(WorkerRenewed.class);
  }

  /** Guards against orphaned tasks, and against a stop of an attempt that is not folded yet. */
  @Test
  void onlyOrphanedTasksAreStopped() {
    long offset = fixture.state.nextOffset();
    VisitPlan plan =
        visit(1, 0, task("a", TaskState.RUNNING, offset - 1), task("b", TaskState.RUNNING, offset));
    assertThat(plan.stops()).containsExactly(ref("a"));
  }

  /** Guards against a late start of a job that was cancelled before its start arrived. */
  @Test
  void cancelledAttemptIsStoppedEvenIfTheWorkerDoesNotReportIt() {
    String job = placedJob();
    fixture.accept(new JobCancelled(job, "operator"));
    VisitPlan plan = visit(1, 0);
    assertThat(plan.stops()).containsExactly(ref(job));
    assertThat(plan.starts()).isEmpty();
  }

  /** Guards against a task that ends at the worker without a release of its resources. */
  @ParameterizedTest
  @EnumSource(value = TaskState.class, names = "RUNNING", mode = EnumSource.Mode.EXCLUDE)
  void everyEndReleasesTheResources(TaskState state) {
    String job = placedJob();
    List<Proposal> proposals = new ArrayList<>(visit(1, 0, task(job, state, 0)).proposals());
    assertThat(proposals).hasSize(1);
    fixture.accept(proposals.get(0));
    assertThat(fixture.state.jobs().usedByWorker("w1")).isEqualTo(JobSize.NONE);
  }

  /** Guards against the reassignment of workers whose owner is still live. */
  @Test
  void lossOfAnEntryHostMovesOnlyItsWorkers() {
    List<String> hosts = List.of("e1", "e2", "e3", "e4");
    List<String> remainingHosts = hosts.subList(0, 3);
    long moved =
        IntStream.range(0, 1_000)
            .mapToObj(worker -> "w" + worker)
            .filter(worker -> RendezvousRanking.rank(worker, "e4", hosts) != 0)
            .filter(
                worker ->
                    remainingHosts.stream()
                        .anyMatch(
                            host ->
                                (RendezvousRanking.rank(worker, host, hosts) == 0)
                                    != (RendezvousRanking.rank(worker, host, remainingHosts) == 0)))
            .count();
    assertThat(moved).isZero();
  }
}
