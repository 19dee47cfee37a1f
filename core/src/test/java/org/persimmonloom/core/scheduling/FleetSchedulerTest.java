package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepBuilder;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowState;

class FleetSchedulerTest {
  private final SchedulerFixture fleet = new SchedulerFixture();

  /** Runs the single task of workflow f1 on the single worker, w1. */
  private WorkerFacts runOneTask() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    return worker;
  }

  /** Guards against a step that starts before its preceding steps are done. */
  @Test
  void startsStepAfterAllTasksOfEarlierSteps() {
    fleet.addWorker("w1");
    fleet.submit(
        "f1", SchedulerFixture.step(2, 500, List.of()), SchedulerFixture.step(1, 500, List.of(0)));
    fleet.report();
    assertThat(fleet.decideAndExecute()).hasSize(2);

    fleet.endRun("w1", new TaskId("f1", 0, 0, 0), 1, EndCause.DONE);
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.endRun("w1", new TaskId("f1", 0, 0, 1), 1, EndCause.DONE);
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.task().step())
        .isEqualTo(1);
  }

  /**
   * Guards against a workflow that restarts because one of its older progress records is read after
   * it has ended. 73 tasks ran twice this way.
   */
  @Test
  void endedWorkflowIsNotRestartedByItsOlderRecords() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(2, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    List<TableRecord> started = fleet.scheduler.takeProgress(fleet.now).records();
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    ProgressBatch ended = fleet.scheduler.takeProgress(fleet.now);

    started.forEach(fleet::apply);
    assertThat(fleet.decideAndExecute()).isEmpty();
    ended.records().forEach(fleet::apply);

    assertThat(fleet.decideAndExecute()).isEmpty();
    assertThat(fleet.table.find("f1").orElseThrow().state()).isEqualTo(WorkflowState.COMPLETE);
  }

  /**
   * Guards against jobs that are shown as active, and are missing from the number of waiting jobs,
   * while all workers with room refuse their starts.
   */
  @Test
  void workflowIsPendingUntilAWorkerHasBegunATask() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    Order refused = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(refused, CallResult.REJECTED, fleet.now);
    fleet.recordProgress();
    assertThat(fleet.table.pendingCount(SchedulerFixture.POLICY.queue())).isEqualTo(1);

    fleet.now += 2_000;
    fleet.report();
    assertThat(fleet.decideAndExecute()).hasSize(1);
    fleet.recordProgress();
    assertThat(fleet.table.pendingCount(SchedulerFixture.POLICY.queue())).isZero();
    assertThat(fleet.table.find("f1").orElseThrow().state()).isEqualTo(WorkflowState.ACTIVE);
  }

  /**
   * Guards against a new owner that uses the number of a run again whose start was ordered but not
   * confirmed, so that two failures count as one.
   */
  @Test
  void numberOfAnUnconfirmedStartIsNotUsedAgain() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.endAllRuns(EndCause.FAILED);
    fleet.report();
    fleet.recordProgress();
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
    fleet.recordProgress();
    fleet.takeOver();
    fleet.report();
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(3);
  }

  /** Guards against a task that starts elsewhere while a silent worker may still run it. */
  @Test
  void silentWorkerKeepsItsTasksUntilTheLeaseHasExpired() {
    WorkerFacts silent = runOneTask();
    fleet.addWorker("w2");
    fleet.report();
    fleet.scheduler.holdFailed(silent, CallResult.UNKNOWN, fleet.now);

    fleet.now += 5_900;
    fleet.report("w1");
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.now += 700;
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w2");
  }

  /**
   * Guards against polls of a silent worker that extend its lease each time, so that its tasks
   * never start elsewhere.
   */
  @Test
  void pollsOfASilentWorkerDoNotExtendItsLease() {
    WorkerFacts silent = runOneTask();
    fleet.addWorker("w2");
    fleet.report();
    fleet.scheduler.holdFailed(silent, CallResult.UNKNOWN, fleet.now);
    for (int i = 0; i < 34; i++) {
      fleet.now += 200;
      for (HoldOrder hold : fleet.scheduler.dueHolds(Set.of(), fleet.now)) {
        if (hold.worker().id().equals("w1")) {
          assertThat(hold.leaseUntilMillis()).isZero();
          fleet.scheduler.holdFailed(silent, CallResult.NOT_SENT, fleet.now);
        }
      }
    }
    fleet.report("w1");
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w2");
  }

  /** Guards against an unanswered start that takes effect after its task started elsewhere. */
  @Test
  void unansweredStartIsStoppedBeforeTheTaskStartsElsewhere() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    Order start = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(start, CallResult.UNKNOWN, fleet.now);
    fleet.addWorker("w2");
    fleet.report();
    assertThat(fleet.decide()).isEmpty();

    fleet.now += 500;
    List<Order> stop = fleet.decide();
    assertThat(stop).singleElement().isInstanceOf(Order.Stop.class);
    fleet.scheduler.orderAnswered(stop.get(0), CallResult.ACCEPTED, fleet.now);
    fleet.report();

    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /**
   * Guards against a running long-running task that is stopped because the response to its start
   * was lost, before the worker has reported again.
   */
  @Test
  void unansweredStartIsNotStoppedBeforeTheNextReport() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 1));
    fleet.report();
    Order start = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(start, CallResult.UNKNOWN, fleet.now);
    fleet.now += 500;
    assertThat(fleet.decide()).isEmpty();
    fleet.running.get(worker.id()).put(start.task(), start.run());
    fleet.report();
    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against a new owner that starts tasks which an unreported worker may still run. */
  @Test
  void newOwnerWaitsForUnreportedWorkers() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    String worker = fleet.decideAndExecute().get(0).worker().id();
    fleet.recordProgress();

    fleet.takeOver();
    fleet.report(worker);
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();
    assertThat(fleet.running.get(worker)).hasSize(1);
  }

  /** Guards against starts beyond the number of attempts that the queue allows. */
  @Test
  void workflowFailsAfterTheAllowedAttempts() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    for (int attempt = 0; attempt < SchedulerFixture.POLICY.attempts(); attempt++) {
      fleet.now += 5_000;
      fleet.report();
      assertThat(fleet.decideAndExecute()).hasSize(1);
      fleet.endAllRuns(EndCause.FAILED);
    }
    fleet.now += 5_000;
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.recordProgress();
    assertThat(fleet.table.find("f1").orElseThrow().state()).isEqualTo(WorkflowState.FAILED);
  }

  /** Guards against a failure that counts twice because its end is reported twice. */
  @Test
  void failureThatIsReportedAgainCountsOnce() {
    WorkerFacts worker = runOneTask();
    fleet.endAllRuns(EndCause.FAILED);
    fleet.report();
    fleet.scheduler.workersListed(List.of(), fleet.now);
    fleet.scheduler.workersListed(List.of(worker), fleet.now);
    fleet.report();
    fleet.recordProgress();
    assertThat(failedRuns()).containsExactly(1);
  }

  private int[] failedRuns() {
    return fleet.table.find("f1").orElseThrow().progress(0).orElseThrow().failedRuns()[0];
  }

  /**
   * Guards against attempts beyond the limit, because an earlier failure is reported to a new owner
   * after a later one.
   */
  @Test
  void failuresCountInAnyOrderOfTheirReports() {
    WorkerFacts first = runOneTask();
    fleet.endAllRuns(EndCause.FAILED);
    fleet.report();
    fleet.addWorker("w2");
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w2");
    fleet.endAllRuns(EndCause.FAILED);

    fleet.takeOver();
    fleet.report(first.id());
    fleet.report();
    fleet.recordProgress();
    assertThat(failedRuns()).containsExactly(1, 2);
  }

  /** Guards against ends that a worker discards before they are recorded. */
  @Test
  void endsAreAcknowledgedOnlyOnceRecorded() {
    fleet.addWorker("w1");
    fleet.submit(
        "f1", SchedulerFixture.step(1, 500, List.of()), SchedulerFixture.step(1, 500, List.of(0)));
    fleet.report();
    fleet.decideAndExecute();
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    fleet.now += 1_000;
    assertThat(acknowledgedEnd()).isZero();
    fleet.recordProgress();
    fleet.now += 1_000;
    assertThat(acknowledgedEnd()).isEqualTo(1);
  }

  private long acknowledgedEnd() {
    return fleet.scheduler.dueHolds(Set.of(), fleet.now).get(0).acknowledgedEnd();
  }

  /**
   * Guards against a cancelled task that keeps running because the response to its stop was lost.
   */
  @Test
  void unansweredStopIsRepeated() {
    runOneTask();
    fleet.apply(fleet.records.cancellation("f1"));
    Order stop = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(stop, CallResult.UNKNOWN, fleet.now);
    fleet.report();
    fleet.now += 500;
    assertThat(fleet.decide()).containsExactly(stop);
  }

  /**
   * Guards against stops that fill the queue of orders: 24 runs on a lost worker had 80 stops a
   * second ordered, 5 were sent, and no task started on any worker for 50 s.
   */
  @Test
  void stopIsNotRepeatedWhileItIsQueuedOrInFlight() {
    runOneTask();
    fleet.apply(fleet.records.cancellation("f1"));
    Order stop = fleet.decide().get(0);
    for (int pass = 0; pass < 10; pass++) {
      fleet.now += 500;
      assertThat(fleet.decide()).isEmpty();
    }
    fleet.scheduler.orderAnswered(stop, CallResult.UNKNOWN, fleet.now);
    assertThat(fleet.decide()).isEmpty();
    fleet.now += 300;
    assertThat(fleet.decide()).containsExactly(stop);
  }

  /** Guards against a task that is never stopped, because its stop was withdrawn unsent. */
  @Test
  void stopThatWasWithdrawnIsRepeated() {
    runOneTask();
    fleet.apply(fleet.records.cancellation("f1"));
    Order stop = fleet.decide().get(0);
    fleet.scheduler.withdraw(stop, fleet.now);
    fleet.now += 300;
    assertThat(fleet.decide()).containsExactly(stop);
  }

  private static StepSpec gang(int tasks, boolean sameRack) {
    return StepBuilder.step(tasks).cpuMillis(3_000).gang(sameRack).build();
  }

  /** Guards against a partially started gang that holds workers while it waits for capacity. */
  @Test
  void gangStartsAllMembersOrNone() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", gang(3, false));
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.addWorker("w3");
    fleet.report();
    assertThat(fleet.decideAndExecute()).hasSize(3).allMatch(order -> order.run() == 1);
  }

  /** Guards against a gang that is spread over racks although one rack has capacity. */
  @Test
  void gangThatRunsFasterOnOneRackIsPlacedThere() {
    fleet.addWorker("w1", "rack-1");
    fleet.addWorker("w2", "rack-2");
    fleet.addWorker("w3", "rack-2");
    fleet.submit("f1", gang(2, true));
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .extracting(order -> order.worker().id())
        .containsExactlyInAnyOrder("w2", "w3");
  }

  /** Guards against tasks that keep running after their workflow was cancelled. */
  @Test
  void cancelledWorkflowIsStopped() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(2, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.apply(fleet.records.cancellation("f1"));
    assertThat(fleet.decideAndExecute()).hasSize(2).allMatch(order -> order instanceof Order.Stop);
    assertThat(fleet.running.get("w1")).isEmpty();
  }
}
