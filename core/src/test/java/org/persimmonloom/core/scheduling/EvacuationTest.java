package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/**
 * Evacuation after a change of owner, while a worker still executes a stop order of the previous
 * owner and reports the task as running at 100 % until it has ended.
 */
class EvacuationTest {
  /** The task that the previous owner ordered to stop. */
  private static final TaskId STOPPING = new TaskId("f1", 0, 0, 0);

  private final SchedulerFixture fleet = new SchedulerFixture();
  private final Map<String, MachineFacts> machines = new TreeMap<>();
  private String stoppingWorker;

  /** Runs one task of a long-running step on each of five hosts; two hosts stay idle. */
  @BeforeEach
  void startTasks() {
    for (int i = 0; i < 7; i++) {
      String id = "m" + i;
      fleet.addWorker(worker(id));
      Resources capacity = new Resources(4_000, 8_000, 0);
      machines.put(
          id,
          new MachineFacts(
              id,
              SchedulerFixture.POLICY.service(),
              MachineFacts.State.UP,
              Set.of("kind-a"),
              capacity,
              worker(id)));
    }
    fleet.submit("f1", SchedulerFixture.longRunning(5, 1));
    fleet.report();
    fleet.decideAndExecute();
    stoppingWorker =
        fleet.running.keySet().stream()
            .filter(worker -> fleet.running.get(worker).containsKey(STOPPING))
            .findFirst()
            .orElseThrow();
  }

  private static String worker(String machine) {
    return "w-" + machine;
  }

  /** Orders a wave over the five hosts that run tasks. */
  private void orderWave() {
    Set<String> waveHosts = new HashSet<>(machines.keySet());
    waveHosts.removeIf(id -> fleet.running.get(worker(id)).isEmpty());
    fleet.scheduler.machines().waveOrdered(new WaveOrder(1, waveHosts, 20_000, 5), null);
    fleet.scheduler.machines().machinesListed(machines.values(), fleet.now, fleet.now);
  }

  /** Schedules the hosts and returns the orders, without those for the task being stopped. */
  private List<Order> decide() {
    List<Order> orders = new ArrayList<>();
    fleet.scheduler.machines().decide(orders, fleet.now, fleet.now);
    orders.removeIf(order -> order.task().equals(STOPPING));
    return orders;
  }

  private void endStop() {
    fleet.endRun(stoppingWorker, STOPPING, 1, EndCause.STOPPED);
    fleet.report();
  }

  /** Guards against two unavailable tasks of a step: the one being stopped and another one. */
  @Test
  void noTaskIsStoppedWhileAStopOfThePreviousOwnerIsInProgress() {
    fleet.handOver();
    orderWave();
    long endMillis = fleet.now + fleet.settings.taskStopMillis();
    while (fleet.now < endMillis) {
      fleet.report();
      assertThat(decide()).as("stops at %d, before the end at %d", fleet.now, endMillis).isEmpty();
    }
    endStop();
    fleet.now += 100;
    fleet.report();
    assertThat(decide()).as("stops while the task is unavailable").isEmpty();
    fleet.decideAndExecute();
    fleet.report();
    assertThat(decide()).as("stops after the task has restarted").hasSize(1);
  }

  /**
   * Guards against a time limit that starts at the takeover: a worker may accept stops of the
   * previous owner until it first reports to the new one.
   */
  @Test
  void workerWithALateFirstReportMayStillExecuteAStop() {
    fleet.handOver();
    orderWave();
    for (int round = 0; round < 50; round++) {
      fleet.now += 100;
      fleet.report(stoppingWorker);
      assertThat(decide()).isEmpty();
    }
    long endMillis = fleet.now + fleet.settings.taskStopMillis();
    while (fleet.now < endMillis) {
      fleet.report();
      assertThat(decide()).as("stops at %d, before the end at %d", fleet.now, endMillis).isEmpty();
    }
  }

  /**
   * Guards against the use of outdated reports: a report requested before the previous owner's
   * stops must have ended does not show that a task keeps running.
   */
  @Test
  void reportsFromBeforeTheEndOfEarlierStopsDoNotCount() {
    fleet.handOver();
    orderWave();
    fleet.report();
    assertThat(decide()).isEmpty();
    fleet.now += 2 * fleet.settings.taskStopMillis();
    assertThat(decide()).as("stops based on old reports").isEmpty();
    fleet.report();
    assertThat(decide()).hasSize(1);
  }
}
