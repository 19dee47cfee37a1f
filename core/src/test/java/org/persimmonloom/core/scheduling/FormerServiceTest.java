package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowSpec;

/** Tests of what a new owner concludes about workers of services that a queue had before. */
class FormerServiceTest {
  private static final String SERVICE = SchedulerFixture.POLICY.service();
  private static final String OTHER_SERVICE = "bakery";

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void addWorkers() {
    fleet.addWorker("w1");
    WorkerFacts facts = fleet.addWorker("w2");
    fleet.workers.put(
        "w2",
        new WorkerFacts(
            "w2",
            "10.0.0.2:80",
            OTHER_SERVICE,
            facts.dataCentre(),
            false,
            new Resources(4_000, 8_000, 0),
            facts.labels(),
            facts.bornMillis()));
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.recordLeaseHolders();
  }

  private static QueuePolicy policy(String service) {
    return new QueuePolicy(SchedulerFixture.POLICY.queue(), service, 0, 3, 1.5, 600, 0);
  }

  private void route(String service) {
    fleet.scheduler.configure(
        Map.of(SchedulerFixture.POLICY.queue(), policy(service)),
        Set.of(SERVICE, OTHER_SERVICE),
        Set.of(),
        Set.of());
  }

  private void submit(String service) {
    fleet.apply(
        fleet.records.submission(
            new WorkflowSpec(
                "f1",
                policy(service),
                "payload",
                List.of(SchedulerFixture.step(1, 500, List.of())),
                0,
                0,
                0,
                1)));
  }

  /** Starts the task on a worker, records the start, and ends the run without a report of it. */
  private void runUnreported(String worker) {
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo(worker);
    fleet.recordProgress();
    fleet.endRun(worker, new TaskId("f1", 0, 0, 0), 1, EndCause.DONE);
  }

  /** Lets the next owner read w1, and w2 after it. */
  private void assertNextOwnerStartsNothing() {
    fleet.takeOver();
    route(SERVICE);
    fleet.report("w2");
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a task that starts again after it has ended: its queue was routed away and back
   * before the owner's term began, and the worker on which it ended has not reported yet.
   */
  @Test
  void startedWorkflowWaitsForWorkersOfTheServiceThatItsQueueHadBetween() {
    route(SERVICE);
    submit(SERVICE);
    route(OTHER_SERVICE);
    runUnreported("w2");

    assertNextOwnerStartsNothing();
  }

  /**
   * Guards against a task that starts again after it has ended: its submission was repeated after
   * its queue was routed to another service, so that the record names the service of now.
   */
  @Test
  void startedWorkflowWaitsForWorkersOfTheServiceBeforeItsSubmissionWasRepeated() {
    route(OTHER_SERVICE);
    submit(OTHER_SERVICE);
    runUnreported("w2");
    route(SERVICE);
    submit(SERVICE);

    assertNextOwnerStartsNothing();
  }

  /** Guards against workflows that wait for silent workers although all their runs are known. */
  @Test
  void workflowWhoseRunsAreReportedWaitsForNoWorkerOfAnotherService() {
    route(SERVICE);
    fleet.submit(
        "f1",
        policy(SERVICE),
        SchedulerFixture.step(1, 500, List.of()),
        SchedulerFixture.step(1, 500, List.of(0)));
    runUnreported("w1");

    fleet.takeOver();
    route(SERVICE);
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.report("w2");
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(Order::task)
        .isEqualTo(new TaskId("f1", 0, 1, 0));
  }

  /**
   * Guards against workflows that wait for a silent worker of another service for a run whose end
   * the earlier owner has recorded and acknowledged, which no worker reports again.
   */
  @Test
  @Tag("known-red")
  void workflowWhoseRunWasStoppedAndAcknowledgedWaitsForNoWorkerOfAnotherService() {
    route(SERVICE);
    submit(SERVICE);
    fleet.report();
    assertThat(fleet.decideAndExecute()).hasSize(1);
    fleet.recordProgress();
    fleet.endRun("w1", new TaskId("f1", 0, 0, 0), 1, EndCause.STOPPED);
    fleet.report();
    fleet.recordProgress();
    fleet.ended.get("w1").clear();

    fleet.takeOver();
    route(SERVICE);
    fleet.report("w2");
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }
}
