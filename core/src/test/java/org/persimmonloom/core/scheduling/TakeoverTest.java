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

  private Stream<String> asked() {
    return fleet.scheduler.dueHolds(Set.of(), fleet.now).stream().map(hold -> hold.worker().id());
  }

  /** Guards against earlier workflows that wait while a worker of the last owner may run them. */
  @Test
  void silentWorkerOfTheLastTermHoldsEarlierWorkflowsBack() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    submitBeforeTakeover();
    fleet.report("w2");

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against earlier workflows that wait for workers which have joined since the takeover and
   * can't run them (pos-loom-grown scale-1: up to 170 tasks waited for 5 s beside idle workers).
   */
  @Test
  void workerThatJoinsAfterTheTakeoverHoldsNothingBack() {
    fleet.addWorker("w1");
    submitBeforeTakeover();
    fleet.report();
    fleet.addWorker("w2");

    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(o -> o.worker().id())
        .isEqualTo("w1");
  }

  /**
   * Guards against earlier workflows that wait for a worker whose host has gone on to another
   * worker before the takeover, since its entry is listed for some seconds more.
   */
  @Test
  void silentWorkerThatNoHostRunsHoldsNothingBack() {
    fleet.addWorker("w1");
    WorkerFacts moved = fleet.addWorker("w2");
    submitBeforeTakeover();
    fleet.report("w2");
    listMachines(
        machine("m1", MachineFacts.State.UP, "w1"), machine("m2", MachineFacts.State.UP, "w3"));
    fleet.scheduler.holdFailed(moved, CallResult.NOT_SENT);

    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(o -> o.worker().id())
        .isEqualTo("w1");
  }

  /**
   * Guards against a task that runs twice: the platform does not name the worker of a lost host.
   */
  @Test
  void silentWorkerHoldsEarlierWorkflowsBackWhileAHostIsLost() {
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
   * Guards against requests to workers whose life is over, for as long as they are listed
   * (pos-loom-grown scale-1: up to 800 a second).
   */
  @Test
  void workerThatIsGoneIsNotAskedAgain() {
    fleet.addWorker("w1");
    fleet.report();
    listMachines(machine("m1", MachineFacts.State.UP, "w1"));
    listMachines(machine("m1", MachineFacts.State.MOVING, ""));
    fleet.addWorker("w2");
    fleet.now += 1_000;

    assertThat(asked()).containsExactly("w2");
  }

  /** Guards against a worker that is never used again because it was taken to be gone once. */
  @Test
  void workerThatItsHostIsShownWithIsAskedAgain() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.scheduler.holdFailed(worker, CallResult.GONE);
    listMachines(machine("m1", MachineFacts.State.UP, "w1"));
    fleet.now += 1_000;

    assertThat(asked()).containsExactly("w1");
  }
}
