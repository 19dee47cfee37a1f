package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;

/** Tests the size of a pool while the rate of submissions changes. */
class PoolGrowthTest {
  private static final String SERVICE = SchedulerFixture.POLICY.service();
  private static final Resources CAPACITY = new Resources(4_000, 8_000, 0);
  private static final int RUNNING_HOSTS = 8;
  private static final int SPARE_HOSTS = 60;

  private final SchedulerFixture fleet = new SchedulerFixture();
  private Map<String, MachineFacts> machines;
  private int submitted;

  @BeforeEach
  void addHosts() {
    machines = fleet.addHosts(RUNNING_HOSTS, SPARE_HOSTS);
    fleet.now += fleet.settings.dutyLeaseMillis();
  }

  /** Submits workflows with two steps of four tasks each, and returns the moves ordered. */
  private List<MachineOrder> passRound(int workflows) {
    fleet.now += 80;
    for (int i = 0; i < workflows; i++) {
      fleet.submit(
          "f" + submitted++,
          SchedulerFixture.step(4, 1_000, List.of()),
          SchedulerFixture.step(4, 1_000, List.of(0)));
    }
    fleet.report();
    fleet.recordProgress();
    fleet.scheduler.machines().machinesListed(machines.values(), fleet.now, fleet.now);
    List<MachineOrder> orders =
        fleet.scheduler.machines().decide(new ArrayList<>(), fleet.now, fleet.now);
    fleet.decideAndExecute();
    return orders;
  }

  private Set<String> movedToService(int rounds, int workflowsPerRound) {
    Set<String> moved = new HashSet<>();
    for (int round = 0; round < rounds; round++) {
      for (MachineOrder order : passRound(workflowsPerRound)) {
        if (order instanceof MachineOrder.Move move && move.pool().equals(SERVICE)) {
          moved.add(order.machine());
        }
      }
    }
    return moved;
  }

  /**
   * Guards against a pool that grows only as tasks pile up: hosts arrive about 2 s after their
   * order, so that most of the first seconds of a burst was late.
   */
  @Test
  void hostsAreOrderedWhenTheRateOfSubmissionsRises() {
    assertThat(movedToService(5, 3)).hasSizeGreaterThanOrEqualTo(15);
  }

  /** Guards against hosts that are switched on for a few submissions, which show no rate. */
  @Test
  void fewSubmissionsOrderHostsForTheirTasksOnly() {
    assertThat(movedToService(1, 2)).isEmpty();
    assertThat(movedToService(5, 0)).isEmpty();
  }

  /** Guards against a pool that is sized by its first host, which differs from the others. */
  @Test
  void poolIsSizedByTheMeanCapacityOfItsHosts() {
    for (int i = 0; i < RUNNING_HOSTS; i++) {
      Resources capacity = i == 0 ? new Resources(0, 0, 0) : CAPACITY;
      machines.put(
          "m" + i,
          new MachineFacts(
              "m" + i, SERVICE, MachineFacts.State.UP, Set.of("kind-a"), capacity, "w" + i));
    }
    assertThat(movedToService(1, 2)).isEmpty();
  }

  /**
   * Guards against hosts that retire because others are on their way: at the start of a burst, 11
   * of 25 workers were cordoned 1 s before the 11 ordered ones could run tasks.
   */
  @Test
  void noHostRetiresForHostsThatAreStillArriving() {
    fleet.submit("kept", SchedulerFixture.step(24, 1_000, List.of()));
    assertThat(movedToService(5, 3)).isNotEmpty();
    for (int workflow = 0; workflow < submitted; workflow++) {
      fleet.endAllRuns(EndCause.DONE, "f" + workflow);
    }
    for (int workflow = 0; workflow < submitted; workflow++) {
      fleet.apply(fleet.records.cancellation("f" + workflow));
    }
    for (int round = 0; round < 25; round++) {
      passRound(0);
      assertThat(fleet.scheduler.outline(fleet.now)).contains("usable:" + RUNNING_HOSTS);
    }
  }
}
