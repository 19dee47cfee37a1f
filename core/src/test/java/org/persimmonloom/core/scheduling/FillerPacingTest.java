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

  private void startServiceAndFiller() {
    worker = fleet.addWorker("w1");
    StepSpec filler = StepBuilder.step(1).cpuMillis(2_000).filler().build();
    fleet.submit("f1", SchedulerFixture.longRunning(1, 1), filler);
    fleet.report();
    assertThat(fleet.decideAndExecute()).hasSize(2);
  }

  private List<Order> reportTailLatency(int tailMillis) {
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

  private static int pacePercent(List<Order> orders) {
    return ((Order.Pace) orders.get(0)).percent();
  }

  /** Guards against fillers that keep a task above its latency target. */
  @Test
  void fillerIsThrottledToZeroWhileTheTargetIsMissed() {
    startServiceAndFiller();
    assertThat(pacePercent(reportTailLatency(2 * TARGET_MILLIS))).isEqualTo(50);
    assertThat(pacePercent(reportTailLatency(2 * TARGET_MILLIS))).isEqualTo(25);
    assertThat(pacePercent(reportTailLatency(2 * TARGET_MILLIS))).isZero();
    assertThat(reportTailLatency(2 * TARGET_MILLIS)).isEmpty();
  }

  /** Guards against fillers that are never sped up and speeds that change with every report. */
  @Test
  void fillerSpeedsUpOnlyWhenTheTailLatencyIsWellBelowItsTarget() {
    startServiceAndFiller();
    reportTailLatency(2 * TARGET_MILLIS);
    assertThat(reportTailLatency(90)).isEmpty();
    assertThat(pacePercent(reportTailLatency(10))).isEqualTo(70);
  }
}
