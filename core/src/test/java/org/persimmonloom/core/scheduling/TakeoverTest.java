package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;

class TakeoverTest {
  private static final String SERVICE = SchedulerFixture.POLICY.service();

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
    fleet.scheduler.machines().machinesListed(List.of(machines));
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
    listMachines(
        machine("m1", MachineFacts.State.UP, "w1"), machine("m2", MachineFacts.State.UP, "w3"));
    fleet.scheduler.holdFailed(moved, CallResult.NOT_SENT);

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
    fleet.scheduler.holdFailed(lost, CallResult.UNKNOWN);
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
    fleet.scheduler.holdFailed(worker, CallResult.GONE);
    listMachines(machine("m1", MachineFacts.State.UP, "w1"));
    fleet.now += 1_000;

    assertThat(polledWorkers()).containsExactly("w1");
  }
}
