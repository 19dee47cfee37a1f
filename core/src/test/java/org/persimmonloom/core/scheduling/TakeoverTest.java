package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;

class TakeoverTest {
  private static final String SERVICE = SchedulerFixture.POLICY.service();
  private static final String OTHER_SERVICE = "sewing";
  private static final String THIRD_SERVICE = "delivery";

  private final SchedulerFixture fleet = new SchedulerFixture();

  /** Submits a workflow, then starts the term of a new owner that reads the list of workers. */
  private void submitBeforeTakeover() {
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.takeOver();
  }

  private static MachineFacts machine(String id, MachineFacts.State state, String worker) {
    return new MachineFacts(
        id, SERVICE, state, Set.of("kind-a"), new Resources(4_000, 8_000, 0), worker);
  }

  private void listMachines(MachineFacts... machines) {
    fleet.scheduler.machines().machinesListed(List.of(machines), fleet.now, fleet.now);
  }

  private Stream<String> polledWorkers() {
    return fleet.scheduler.dueHolds(Set.of(), fleet.now).stream().map(hold -> hold.worker().id());
  }

  /**
   * Guards against a task that runs twice because its workflow, submitted before the takeover,
   * starts while a silent worker may still run it.
   */
  @Test
  void silentWorkerFromThePreviousTermBlocksEarlierWorkflows() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    submitBeforeTakeover();
    fleet.report("w2");

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /** Starts a task on one of two workers, then the term of a new owner; returns its worker. */
  private String takeOverWhileATaskRuns() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    String worker = fleet.decideAndExecute().get(0).worker().id();
    fleet.takeOverUnlisted();
    return worker;
  }

  private void listAllExcept(String worker) {
    fleet.scheduler.workersListed(
        fleet.workers.values().stream().filter(facts -> !facts.id().equals(worker)).toList(),
        fleet.now);
  }

  /**
   * Guards against a task that runs twice because the entry of its worker has lapsed while the
   * store was down, so that the new owner's first list lacks the worker.
   */
  @Test
  void workerWhoseEntryHasLapsedBlocksEarlierWorkflows() {
    String worker = takeOverWhileATaskRuns();
    listAllExcept(worker);
    fleet.report(worker);

    assertThat(fleet.decideAndExecute()).isEmpty();
    assertThat(polledWorkers()).contains(worker);
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a task that runs twice because the entry of its silent worker is removed after
   * the takeover, while the worker runs on under its lease.
   */
  @Test
  void silentWorkerBlocksEarlierWorkflowsAfterItsEntryIsGone() {
    String worker = takeOverWhileATaskRuns();
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.report(worker);
    listAllExcept(worker);
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.now += fleet.settings.takeoverBlockMillis();
    fleet.report(worker);
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /**
   * Guards against a task that runs twice because its worker has no readable entry when its new
   * process is listed again, and a new owner takes the process for unused.
   */
  @Test
  void workerThatHasRestartedBeforeTheTakeoverBlocksEarlierWorkflows() {
    String worker = takeOverWhileATaskRuns();
    WorkerFacts first = fleet.workers.get(worker);
    WorkerFacts second = SchedulerFixture.process(first, first.address(), first.bornMillis() + 500);
    fleet.workers.put(worker, second);
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.report(worker);

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a task that runs twice because its worker falls silent right after its first
   * report to a new owner, which has granted no lease yet.
   */
  @Test
  void adoptedRunKeepsTheLeaseOfAnEarlierOwner() {
    String worker = takeOverWhileATaskRuns();
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.report();
    fleet.scheduler.holdFailed(fleet.workers.get(worker), CallResult.NOT_SENT, fleet.now);
    fleet.now += 5_900;
    fleet.report(worker);
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.now += 500;
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /** Guards against runs that no later owner can find, should the worker's entry lapse. */
  @Test
  void workerGetsNoStartBeforeItIsRecorded() {
    fleet.addWorker("w1");
    fleet.takeOverUnlisted();
    WorkerFacts joined = fleet.addUnrecordedWorker("w2");
    fleet.report();
    fleet.submit("f1", SchedulerFixture.step(20, 500, List.of()));
    assertThat(fleet.decideAndExecute())
        .extracting(order -> order.worker().id())
        .isNotEmpty()
        .containsOnly("w1");

    fleet.recordLeaseHolders();
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .extracting(order -> order.worker().id())
        .contains(joined.id());
  }

  /** Guards against records of workers that are gone, for which each new owner would wait. */
  @Test
  void recordOfAWorkerThatIsGoneIsRemoved() {
    fleet.addWorker("w1");
    fleet.report();
    fleet.scheduler.workersListed(List.of(), fleet.now);

    assertThat(fleet.scheduler.takeLeaseHolders().records())
        .singleElement()
        .satisfies(record -> assertThat(record.value()).isNull());
  }

  /**
   * Guards against records of lost workers that stay until the next change of the published list,
   * and for which each new owner would wait.
   */
  @Test
  void recordOfALostWorkerIsRemovedOnceItsLeaseIsOver() {
    WorkerFacts lost = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.scheduler.holdFailed(lost, CallResult.UNKNOWN, fleet.now);
    fleet.scheduler.workersListed(List.of(), fleet.now);
    assertThat(fleet.scheduler.takeLeaseHolders().records()).isEmpty();

    fleet.now += 6_500;
    fleet.decide();
    assertThat(fleet.scheduler.takeLeaseHolders().records()).hasSize(1);
  }

  /**
   * Guards against earlier workflows that wait for workers which joined after the takeover and
   * cannot already run them. Up to 170 tasks waited for 5 s while workers were idle.
   */
  @Test
  void workerThatJoinsAfterTheTakeoverBlocksNoWorkflow() {
    fleet.addWorker("w1");
    submitBeforeTakeover();
    fleet.report();
    fleet.addWorker("w2");

    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w1");
  }

  /**
   * Guards against earlier workflows that wait for a terminated worker: its host was up with
   * another worker before the takeover, but its entry stays in the worker list for some seconds.
   */
  @Test
  void silentWorkerWithoutAHostBlocksNoWorkflow() {
    fleet.addWorker("w1");
    WorkerFacts moved = fleet.addWorker("w2");
    submitBeforeTakeover();
    fleet.report("w2");
    fleet.addUnrecordedWorker("w3");
    listMachines(
        machine("m1", MachineFacts.State.UP, "w1"), machine("m2", MachineFacts.State.UP, "w3"));
    fleet.scheduler.holdFailed(moved, CallResult.NOT_SENT, fleet.now);

    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w1");
  }

  /**
   * Guards against a task that runs twice: the platform does not report the worker of a host that
   * is down, so a silent worker may still run there.
   */
  @Test
  void silentWorkerBlocksEarlierWorkflowsWhileAHostIsDown() {
    fleet.addWorker("w1");
    WorkerFacts lost = fleet.addWorker("w2");
    submitBeforeTakeover();
    fleet.report("w2");
    fleet.scheduler.holdFailed(lost, CallResult.UNKNOWN, fleet.now);
    listMachines(
        machine("m1", MachineFacts.State.UP, "w1"), machine("m2", MachineFacts.State.DOWN, ""));

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against polls of terminated workers for as long as they are listed. There were up to 800
   * such requests per second.
   */
  @Test
  void terminatedWorkerIsNotPolled() {
    fleet.addWorker("w1");
    fleet.report();
    listMachines(machine("m1", MachineFacts.State.UP, "w1"));
    listMachines(machine("m1", MachineFacts.State.MOVING, ""));
    fleet.addWorker("w2");
    fleet.now += 1_000;

    assertThat(polledWorkers()).containsExactly("w2");
  }

  /** Guards against a worker that stays unused after it was wrongly taken for terminated. */
  @Test
  void workerThatItsHostReportsIsPolledAgain() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.scheduler.holdFailed(worker, CallResult.GONE, fleet.now);
    listMachines(machine("m1", MachineFacts.State.UP, "w1"));
    fleet.now += 1_000;

    assertThat(polledWorkers()).containsExactly("w1");
  }

  private static QueuePolicy routedTo(String service) {
    QueuePolicy submitted = SchedulerFixture.POLICY;
    return new QueuePolicy(
        submitted.queue(),
        service,
        submitted.priority(),
        submitted.attempts(),
        submitted.stretch(),
        submitted.targetMillis(),
        submitted.permitValidMillis());
  }

  private void route(String service) {
    fleet.scheduler.configure(
        Map.of(SchedulerFixture.POLICY.queue(), routedTo(service)),
        Set.of(SERVICE, OTHER_SERVICE, THIRD_SERVICE),
        Set.of(),
        Set.of());
  }

  private void addWorkerOf(String service, String id) {
    WorkerFacts first = fleet.addUnrecordedWorker(id);
    fleet.workers.put(
        id,
        new WorkerFacts(
            id,
            first.address(),
            service,
            first.dataCentre(),
            first.draining(),
            first.capacity(),
            first.labels(),
            first.bornMillis()));
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.recordLeaseHolders();
  }

  /**
   * Guards against a task that runs twice because its queue is routed to another service while a
   * silent worker of the former one may still run it.
   */
  @Test
  void silentWorkerOfTheFormerServiceBlocksEarlierWorkflows() {
    fleet.addWorker("w1");
    addWorkerOf(OTHER_SERVICE, "w2");
    submitBeforeTakeover();
    route(OTHER_SERVICE);
    fleet.report("w1");
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.report();
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w2");
  }

  /** Guards against the same, with a service between the first and the present one. */
  @Test
  void silentWorkerOfAServiceBetweenBlocksEarlierWorkflows() {
    addWorkerOf(OTHER_SERVICE, "w2");
    addWorkerOf(THIRD_SERVICE, "w3");
    submitBeforeTakeover();
    route(OTHER_SERVICE);
    fleet.report("w3");
    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /** Guards against the same, with a queue that is routed back to its first service. */
  @Test
  void silentWorkerBlocksEarlierWorkflowsAfterTheirQueueIsRoutedBack() {
    fleet.addWorker("w1");
    addWorkerOf(OTHER_SERVICE, "w2");
    submitBeforeTakeover();
    route(OTHER_SERVICE);
    route(SERVICE);
    fleet.report("w2");
    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /** Guards against earlier workflows that wait for workers which can't run their tasks. */
  @Test
  void silentWorkerOfAnotherServiceBlocksNoWorkflowWhoseQueueIsNotRerouted() {
    fleet.addWorker("w1");
    addWorkerOf(OTHER_SERVICE, "w2");
    submitBeforeTakeover();
    route(SERVICE);
    fleet.report("w2");
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /** Guards against new workflows that wait for workers which can't run their tasks. */
  @Test
  void silentWorkerBlocksNoLaterWorkflowOfAReroutedQueue() {
    fleet.addWorker("w1");
    addWorkerOf(OTHER_SERVICE, "w2");
    fleet.takeOver();
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    route(OTHER_SERVICE);
    fleet.report("w1");
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /** Guards against runs that no later owner can find, since the store refuses the record. */
  @Test
  void workerWhoseRecordIsRefusedForGoodGetsNoStart() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.scheduler.leaseHoldersRejected(Set.of("w.w1"));
    fleet.submit("f1", SchedulerFixture.step(20, 500, List.of()));
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .extracting(order -> order.worker().id())
        .isNotEmpty()
        .containsOnly("w2");
  }
}
