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

/** The reasons for which tasks are not started. */
class NotStartedReportTest {
  private static final StepSpec ONE_TASK = SchedulerFixture.step(1, 500, List.of());

  private final SchedulerFixture fleet = new SchedulerFixture();

  private String outline() {
    return fleet.scheduler.outlineNotStarted(fleet.now, fleet.now);
  }

  private void decideOnReports() {
    fleet.report();
    fleet.decideAndExecute();
  }

  /** Guards against lines about tasks that are at work, done, or not ready. */
  @Test
  void nothingIsReportedOfTasksAtWork() {
    fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK, SchedulerFixture.step(5, 500, List.of(0)));
    fleet.submit("f2", SchedulerFixture.longRunning(1, 0));
    decideOnReports();
    fleet.report();
    assertThat(outline()).isEmpty();
  }

  /** Guards against a line that grows with the number of tasks. */
  @Test
  void tasksAreGroupedByServiceAndReason() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(10, 4_000, List.of()));
    fleet.submit("f2", SchedulerFixture.step(10, 4_000, List.of()));
    decideOnReports();
    assertThat(outline()).matches("laundry\\.NO_ROOM=tasks:19,oldest:0,task:f[12]\\.0\\.0\\.\\d+");
  }

  /** Guards against a task that waits unnoticed among younger ones. */
  @Test
  void longestWaitIsNamed() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.labelled(1, "kind-b"));
    decideOnReports();
    assertThat(outline()).isEqualTo("laundry.NO_ROOM=tasks:1,oldest:0,task:f1.0.0.0");
    fleet.now += 24_000;
    fleet.submit("f2", SchedulerFixture.labelled(1, "kind-b"));
    decideOnReports();
    assertThat(outline()).isEqualTo("laundry.NO_ROOM=tasks:2,oldest:24020,task:f1.0.0.0");
  }

  /** Guards against a wait that includes the time in which the task ran between two reports. */
  @Test
  void waitStartsAnewAfterEachRun() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    assertThat(outline()).contains("NO_WORKER_USABLE=tasks:1,oldest:0");
    decideOnReports();
    fleet.scheduler.holdFailed(worker, CallResult.GONE);
    fleet.now += 5_000;
    assertThat(outline()).contains("NO_WORKER_USABLE=tasks:1,oldest:0");
  }

  /** Guards against a report that changes what is decided. */
  @Test
  void reportStartsNothing() {
    fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK);
    fleet.report();
    assertThat(outline()).startsWith("laundry.STARTABLE=");
    assertThat(fleet.decideAndExecute()).hasSize(1);
    assertThat(outline()).isEmpty();
  }

  /** Guards against an occurrence that is taken for overdue before its time. */
  @Test
  void laterOccurrenceIsNotDue() {
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
    decideOnReports();
    outline();
    fleet.now += 1_000;
    assertThat(outline()).matches("laundry\\.NOT_DUE=tasks:2,oldest:0,task:f1\\.[01]\\.0\\.0");
  }

  /** Guards against tasks of a service that is switched off and that nobody misses. */
  @Test
  void serviceThatDoesNotRunIsNamed() {
    fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK);
    fleet.scheduler.configure(Map.of(), Set.of("other"), Set.of(SchedulerFixture.POLICY.service()));
    decideOnReports();
    assertThat(outline()).startsWith("laundry.SERVICE_NOT_RUNNING=tasks:1");
  }

  /** Guards against a block after a take-over that lasts unnoticed (LOST, hypothesis 2). */
  @Test
  void blockAfterTakeoverIsNamed() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", ONE_TASK);
    fleet.takeOver();
    fleet.report("w2");
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.BLOCKED_AFTER_TAKEOVER=tasks:1");
  }

  /** Guards against workers that may start nothing and are taken for full (LOST, hypothesis 3). */
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

  /** Guards against a refused or unanswered permit that is taken for a lack of room. */
  @Test
  void missingPermitIsNamed() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.PERMIT_POLICY, ONE_TASK);
    decideOnReports();
    assertThat(outline()).startsWith("laundry.NO_PERMIT=tasks:1");
    PermitRequest request = fleet.scheduler.nextPermitRequest(fleet.now).orElseThrow();
    fleet.scheduler.permitsAnswered(request, Optional.of(Map.of()), fleet.now, fleet.now);
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.NO_PERMIT=tasks:1");
  }

  /** Guards against a gang that waits for room although each of its members alone would fit. */
  @Test
  void gangWithoutRoomForAllIsNamed() {
    fleet.addWorker("w1");
    fleet.submit("f1", StepBuilder.step(3).cpuMillis(2_000).gang(false).build());
    decideOnReports();
    assertThat(outline()).startsWith("laundry.GANG_INCOMPLETE_ROOM=tasks:3");
  }

  /** Guards against a gang that one member's run on a silent worker keeps from starting. */
  @Test
  void gangWithAnActiveMemberIsNamed() {
    WorkerFacts first = fleet.addWorker("w1");
    WorkerFacts second = fleet.addWorker("w2");
    fleet.submit("f1", StepBuilder.step(2).cpuMillis(3_000).gang(false).build());
    decideOnReports();
    fleet.scheduler.holdFailed(first, CallResult.UNKNOWN);
    fleet.scheduler.holdFailed(second, CallResult.GONE);
    fleet.decideAndExecute();
    assertThat(outline()).startsWith("laundry.GANG_MEMBER_ACTIVE=tasks:1");
  }

  /** Guards against a lasting task that a silent worker keeps unnoticed (LOST, hypothesis 1). */
  @Test
  void lastingTaskOfASilentWorkerIsNamed() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    decideOnReports();
    fleet.report();
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN);
    outline();
    fleet.now += 1_000;
    assertThat(outline())
        .isEqualTo(
            "laundry.BELIEVED_RUNNING=tasks:1,oldest:1000,task:f1.0.0.0"
                + ",run:1,worker:w1,phase:RUNNING,reported:1000");
  }

  /** Guards against a worker whose request for its lists neither fails nor is answered. */
  @Test
  void lastingTaskOfAWorkerThatStoppedReportingIsNamed() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    decideOnReports();
    fleet.now += 2_000;
    assertThat(outline()).contains("laundry.BELIEVED_RUNNING=").contains("phase:RUNNING");
  }

  /** Guards against a start that is not answered while the worker reports. */
  @Test
  void lastingTaskWhoseStartIsOpenIsNamed() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.longRunning(1, 0));
    fleet.report();
    fleet.decide();
    assertThat(outline()).contains("laundry.BELIEVED_RUNNING=").contains("phase:STARTING");
  }

  /** Guards against a stop whose end the worker never lists. */
  @Test
  void lastingTaskWhoseStopIsOpenIsNamed() {
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

  /** Guards against short tasks that fill the log while their worker is silent. */
  @Test
  void shortTaskOfASilentWorkerIsNotReported() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", ONE_TASK);
    decideOnReports();
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN);
    assertThat(outline()).isEmpty();
  }
}
