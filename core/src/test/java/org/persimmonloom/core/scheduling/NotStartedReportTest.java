package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepBuilder;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.WorkflowSpec;

/** The reported reasons why tasks are not started. */
class NotStartedReportTest {
  private static final StepSpec ONE_TASK = SchedulerFixture.step(1, 500, List.of());

  private final SchedulerFixture fleet = new SchedulerFixture();

  private String outline() {
    return fleet.scheduler.outlineNotStarted(fleet.now, fleet.now);
  }

  private void reportAndExecute() {
    fleet.report();
    fleet.decideAndExecute();
  }

  /** Guards against reports of tasks that are running, done, or not ready. */
  @Test
  void runningTasksAreNotReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK, SchedulerFixture.step(5, 500, List.of(0)));
    fleet.submit("f2", SchedulerFixture.longRunning(1, 0));
    reportAndExecute();
    fleet.report();
    assertThat(outline()).isEmpty();
  }

  /** Guards against a log line whose length grows with the number of tasks. */
  @Test
  void tasksAreGroupedByServiceAndReason() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(10, 4_000, List.of()));
    fleet.submit("f2", SchedulerFixture.step(10, 4_000, List.of()));
    reportAndExecute();
    assertThat(outline()).matches("laundry\\.NO_ROOM=tasks:19,oldest:0,task:f[12]\\.0\\.0\\.\\d+");
  }

  /** Guards against a long wait that is hidden by shorter waits of other tasks. */
  @Test
  void longestWaitingTaskIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.labelled(1, "kind-b"));
    reportAndExecute();
    assertThat(outline()).isEqualTo("laundry.NO_ROOM=tasks:1,oldest:0,task:f1.0.0.0");
    fleet.now += 24_000;
    fleet.submit("f2", SchedulerFixture.labelled(1, "kind-b"));
    reportAndExecute();
    assertThat(outline()).isEqualTo("laundry.NO_ROOM=tasks:2,oldest:24020,task:f1.0.0.0");
  }

  /** Guards against a waiting time that includes a run of the task between two reports. */
  @Test
  void waitingTimeRestartsAfterEachRun() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    assertThat(outline()).contains("NO_WORKER_USABLE=tasks:1,oldest:0");
    reportAndExecute();
    fleet.scheduler.holdFailed(worker, CallResult.GONE, fleet.now);
    fleet.now += 5_000;
    assertThat(outline()).contains("NO_WORKER_USABLE=tasks:1,oldest:0");
  }

  /** Guards against a report that affects scheduling decisions. */
  @Test
  void reportDoesNotAffectDecisions() {
    fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK);
    fleet.report();
    assertThat(outline()).startsWith("laundry.STARTABLE=");
    assertThat(fleet.decideAndExecute()).hasSize(1);
    assertThat(outline()).isEmpty();
  }

  /** Guards against a waiting time of an occurrence whose scheduled time has not been reached. */
  @Test
  void occurrenceBeforeItsScheduledTimeIsNotDue() {
    fleet.addWorker("w1");
    fleet.apply(
        fleet.records.submission(
            new WorkflowSpec(
                "f1",
                SchedulerFixture.POLICY,
                "payload",
                List.of(ONE_TASK),
                2,
                fleet.now + 60_000,
                60_000,
                fleet.now)));
    reportAndExecute();
    outline();
    fleet.now += 1_000;
    assertThat(outline()).matches("laundry\\.NOT_DUE=tasks:2,oldest:0,task:f1\\.[01]\\.0\\.0");
  }

  /** Guards against tasks that wait unreported because their service is switched off. */
  @Test
  void switchedOffServiceIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK);
    fleet.scheduler.configure(
        Map.of(), Set.of("other"), Set.of(SchedulerFixture.POLICY.service()), Set.of());
    reportAndExecute();
    assertThat(outline()).startsWith("laundry.SERVICE_NOT_RUNNING=tasks:1");
  }

  /** Guards against an unreported block of a workflow after a takeover. */
  @Test
  void blockAfterTakeoverIsReported() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", ONE_TASK);
    fleet.takeOver();
    fleet.report("w2");
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.BLOCKED_AFTER_TAKEOVER=tasks:1");
  }

  /** Guards against workers that accept no runs and are reported as full. */
  @Test
  void drainingWorkerIsNotUsable() {
    WorkerFacts facts = fleet.addWorker("w1");
    fleet.report();
    WorkerFacts draining =
        new WorkerFacts(
            facts.id(),
            facts.address(),
            facts.service(),
            facts.dataCentre(),
            true,
            facts.capacity(),
            facts.labels(),
            facts.bornMillis());
    fleet.scheduler.workersListed(List.of(draining), fleet.now);
    fleet.submit("f1", ONE_TASK);
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.NO_WORKER_USABLE=tasks:1");
  }

  /** Guards against a refused or pending permit that is reported as a lack of capacity. */
  @Test
  void missingPermitIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.PERMIT_POLICY, ONE_TASK);
    reportAndExecute();
    assertThat(outline()).startsWith("laundry.NO_PERMIT=tasks:1");
    PermitRequest request = fleet.scheduler.nextPermitRequest(fleet.now).orElseThrow();
    fleet.scheduler.permitsAnswered(request, Optional.of(Map.of()), fleet.now, fleet.now);
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.NO_PERMIT=tasks:1");
  }

  /** Guards against an unreported gang whose members fit one by one, but not all at once. */
  @Test
  void gangWithoutCapacityForAllMembersIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", StepBuilder.step(3).cpuMillis(2_000).gang(false).build());
    reportAndExecute();
    assertThat(outline()).startsWith("laundry.GANG_INCOMPLETE_ROOM=tasks:3");
  }

  /** Guards against an unreported gang that is blocked by a member's run on a silent worker. */
  @Test
  void gangWithAnActiveMemberIsReported() {
    WorkerFacts first = fleet.addWorker("w1");
    WorkerFacts second = fleet.addWorker("w2");
    fleet.submit("f1", StepBuilder.step(2).cpuMillis(3_000).gang(false).build());
    reportAndExecute();
    fleet.scheduler.holdFailed(first, CallResult.UNKNOWN, fleet.now);
    fleet.scheduler.holdFailed(second, CallResult.GONE, fleet.now);
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.GANG_MEMBER_ACTIVE=tasks:1");
  }

  /** Guards against an unreported long-running task whose only run is on a silent worker. */
  @Test
  void longRunningTaskOfASilentWorkerIsReported() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    reportAndExecute();
    fleet.report();
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    outline();
    fleet.now += 1_000;
    assertThat(outline())
        .isEqualTo(
            "laundry.BELIEVED_RUNNING=tasks:1,oldest:1000,task:f1.0.0.0"
                + ",run:1,worker:w1,phase:RUNNING,reported:1000");
  }

  /** Guards against a worker whose hold request neither fails nor gets a response. */
  @Test
  void longRunningTaskOfAWorkerThatStoppedReportingIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    reportAndExecute();
    fleet.now += 2_000;
    assertThat(outline()).contains("laundry.BELIEVED_RUNNING=").contains("phase:RUNNING");
  }

  /** Guards against a start that stays unconfirmed while its worker reports. */
  @Test
  void longRunningTaskWithAnUnconfirmedStartIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    fleet.report();
    fleet.decide();
    assertThat(outline()).contains("laundry.BELIEVED_RUNNING=").contains("phase:STARTING");
  }

  /** Guards against a confirmed stop whose end the worker never reports. */
  @Test
  void longRunningTaskWithAnUnfinishedStopIsReported() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    fleet.report();
    Order start = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(start, CallResult.UNKNOWN, fleet.now);
    fleet.report();
    fleet.now += 500;
    Order stop = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(stop, CallResult.ACCEPTED, fleet.now);
    assertThat(outline()).contains("laundry.BELIEVED_RUNNING=").contains("phase:STOPPING");
  }

  /** Guards against log lines about short tasks whose worker is silent. */
  @Test
  void shortTaskOfASilentWorkerIsNotReported() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK);
    reportAndExecute();
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    assertThat(outline()).isEmpty();
  }
}
