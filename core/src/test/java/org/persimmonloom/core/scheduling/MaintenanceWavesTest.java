package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;

/** Hosts that a maintenance wave cordons, takes down and releases. */
class MaintenanceWavesTest {
  private static final int HOSTS = 3;

  private final SchedulerFixture fleet = new SchedulerFixture();
  private final List<MachineFacts> machines = new ArrayList<>();

  private List<MachineOrder> decide() {
    fleet.now += 100;
    fleet.report();
    fleet.scheduler.machines().machinesListed(machines, fleet.now, fleet.now);
    List<MachineOrder> orders =
        fleet.scheduler.machines().decide(new ArrayList<>(), fleet.now, fleet.now);
    fleet.decideAndExecute();
    return orders;
  }

  private void put(int host, MachineFacts.State state, String worker) {
    machines.removeIf(facts -> facts.id().equals("m" + host));
    machines.add(
        new MachineFacts(
            "m" + host,
            SchedulerFixture.POLICY.service(),
            state,
            Set.of("kind-a"),
            new Resources(4_000, 8_000, 0),
            worker));
  }

  /** Orders a wave for the first host of a full pool; all other hosts stay in use. */
  private void startWave() {
    for (int i = 0; i < HOSTS; i++) {
      fleet.addWorker("w-m" + i);
      put(i, MachineFacts.State.UP, "w-m" + i);
    }
    // More tasks than the pool can run, so that no host is retired.
    fleet.submit("f1", SchedulerFixture.step(80, 1_000, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.now += fleet.settings.dutyLeaseMillis();
    fleet.scheduler.machines().waveOrdered(new WaveOrder(1, Set.of("m0"), 20_000, 1), null);
  }

  private void answerMaintenance(MachineOrder.Result result) {
    MachineOrder maintain = new MachineOrder.Maintain("m0", 1);
    List<MachineOrder> orders = new ArrayList<>();
    for (int round = 0; round < 80 && !orders.contains(maintain); round++) {
      orders = decide();
    }
    assertThat(orders).contains(maintain);
    fleet.scheduler.machines().orderAnswered(maintain, result, fleet.now);
  }

  private void endTasksAfterReturnTimeout() {
    for (int round = 0; round < 200; round++) {
      decide();
    }
    fleet.endAllRuns(EndCause.DONE);
    decide();
    decide();
  }

  /**
   * Guards against a host that stays cordoned forever: an earlier owner already had it maintained,
   * so the order is answered as done and its worker is not replaced.
   */
  @Test
  void hostThatWasMaintainedBeforeAcceptsRunsAgain() {
    startWave();
    answerMaintenance(MachineOrder.Result.DONE);
    endTasksAfterReturnTimeout();
    assertThat(fleet.running.get("w-m1")).isNotEmpty();
    assertThat(fleet.running.get("w-m0")).isNotEmpty();
  }

  /** Guards against a host that stays cordoned after an executed order whose response was lost. */
  @Test
  void hostWhoseOrderWasNotAnsweredAcceptsRunsAgain() {
    startWave();
    answerMaintenance(MachineOrder.Result.UNKNOWN);
    fleet.workers.remove("w-m0");
    fleet.running.remove("w-m0");
    put(0, MachineFacts.State.IN_MAINTENANCE, "");
    decide();
    fleet.addWorker("w2-m0");
    put(0, MachineFacts.State.UP, "w2-m0");
    answerMaintenance(MachineOrder.Result.DONE);
    endTasksAfterReturnTimeout();
    assertThat(fleet.running.get("w-m1")).isNotEmpty();
    assertThat(fleet.running.get("w2-m0")).isNotEmpty();
  }
}
