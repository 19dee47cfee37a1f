package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepBuilder;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TaskId;

class FillerPacingTest {
  private static final int TARGET_MILLIS = 100;

  private final SchedulerFixture fleet = new SchedulerFixture();
  private WorkerFacts worker;

  private void startServingAndFilling() {
    worker = fleet.addWorker("w1");
    StepSpec filler = StepBuilder.step(1).cpuMillis(2_000).filler().build();
    fleet.submit("f1", SchedulerFixture.longRunning(1, 1), filler);
    fleet.report();
    assertThat(fleet.decideAndExecute()).hasSize(2);
  }

  private List<Order> reportTail(int tailMillis) {
    fleet.now += 2_500;
    List<RunningTask> running =
        List.of(
            new RunningTask(new TaskId("f1", 0, 0, 0), 1, "", 100, tailMillis),
            new RunningTask(new TaskId("f1", 0, 1, 0), 1, "", 100, 2_000));
    fleet.scheduler.workerReported(
        worker,
        fleet.now - 1,
        new WorkerReport(fleet.now, SchedulerFixture.BORN_MILLIS, running, List.of()),
        fleet.now);
    return fleet.decideAndExecute();
  }

  private static int pace(List<Order> orders) {
    return ((Order.Pace) orders.get(0)).percent();
  }

  /** Guards against fillers that keep a serving task over its target. */
  @Test
  void fillerIsSlowedToAStandstillWhileTheTargetIsMissed() {
    startServingAndFilling();
    assertThat(pace(reportTail(2 * TARGET_MILLIS))).isEqualTo(50);
    assertThat(pace(reportTail(2 * TARGET_MILLIS))).isEqualTo(25);
    assertThat(pace(reportTail(2 * TARGET_MILLIS))).isZero();
    assertThat(reportTail(2 * TARGET_MILLIS)).isEmpty();
  }

  /** Guards against fillers that stay slow for good, and a pace that changes with each report. */
  @Test
  void fillerSpeedsUpOnlyWhenTheTailIsWellBelowItsTarget() {
    startServingAndFilling();
    reportTail(2 * TARGET_MILLIS);
    assertThat(reportTail(90)).isEmpty();
    assertThat(pace(reportTail(10))).isEqualTo(70);
  }
}
