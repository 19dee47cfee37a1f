package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;

/** Which host lists prove that a worker has ended. */
class HostListEvidenceTest {
  private final SchedulerFixture fleet = new SchedulerFixture();

  private static MachineFacts machine(String id, MachineFacts.State state, String worker) {
    return machine(id, SchedulerFixture.POLICY.service(), state, worker);
  }

  private static MachineFacts machine(
      String id, String pool, MachineFacts.State state, String worker) {
    return new MachineFacts(
        id, pool, state, Set.of("kind-a"), new Resources(4_000, 8_000, 0), worker);
  }

  private void listMachines(long sentMillis, MachineFacts... machines) {
    fleet.scheduler.machines().machinesListed(List.of(machines), sentMillis, fleet.now);
  }

  private void submitBeforeTakeover() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.takeOver();
    fleet.report("w2");
  }

  private void loseWorker(String id) {
    fleet.scheduler.holdFailed(fleet.workers.get(id), CallResult.UNKNOWN, fleet.now);
  }

  /**
   * Guards against a task that runs twice: the host list names no worker for a host that is up, as
   * the worker's registration has lapsed, and the silent worker runs on under its lease.
   */
  @Test
  void silentWorkerBlocksEarlierWorkflowsWhileAHostOfItsPoolNamesNoWorker() {
    submitBeforeTakeover();
    loseWorker("w2");
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w1"),
        machine("m2", MachineFacts.State.UP, ""));

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /** Guards against earlier workflows that wait because switched-off hosts have no workers. */
  @Test
  void hostsOfOtherPoolsWithoutWorkersBlockNoWorkflow() {
    submitBeforeTakeover();
    loseWorker("w2");
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w1"),
        machine("m2", "spare", MachineFacts.State.UP, ""));

    assertThat(fleet.decideAndExecute()).hasSize(1);
  }
}
