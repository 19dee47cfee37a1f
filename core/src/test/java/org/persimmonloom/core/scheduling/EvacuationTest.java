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
 * Planned work after a change of owner, while a worker carries out the last owner's stop of a task
 * and lists the task as running at 100 % until it has ended.
 */
class EvacuationTest {
  /** The task whose stop the last owner has ordered. */
  private static final TaskId STOPPING = new TaskId("f1", 0, 0, 0);

  private final SchedulerFixture fleet = new SchedulerFixture();
  private final Map<String, MachineFacts> machines = new TreeMap<>();
  private String stoppingWorker;

  /** Five hosts run a lasting task of one step each; two are idle. */
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

  /** Orders a wave that needs the five hosts with tasks. */
  private void orderWave() {
    Set<String> due = new HashSet<>(machines.keySet());
    due.removeIf(id -> fleet.running.get(worker(id)).isEmpty());
    fleet.scheduler.machines().waveOrdered(new WaveOrder(1, due, 20_000, 5), null);
    fleet.scheduler.machines().machinesListed(machines.values());
  }

  /** Decides about hosts and returns the stops of other tasks than the one being stopped. */
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

  /** Guards against a second task away beside the one being stopped (pos-loom trouble-2, AVAIL). */
  @Test
  void newOwnerStopsNoTaskWhileTheLastOwnersStopIsCarriedOut() {
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
    assertThat(decide()).as("stops while the task is away").isEmpty();
    fleet.decideAndExecute();
    fleet.report();
    assertThat(decide()).as("stops after the task is back").hasSize(1);
  }

  /**
   * Guards against a bound that counts from the take-over: a worker that the new owner hears late
   * may have accepted a stop of the last owner until then.
   */
  @Test
  void workerThatIsHeardLateMayStillCarryOutAStop() {
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
   * Guards against evidence that is too old: lists that a worker was asked for before the last
   * owner's stops must have ended do not show that a task stays at work.
   */
  @Test
  void listsFromBeforeTheEndOfStopsDoNotCount() {
    fleet.handOver();
    orderWave();
    fleet.report();
    assertThat(decide()).isEmpty();
    fleet.now += 2 * fleet.settings.taskStopMillis();
    assertThat(decide()).as("stops by old lists").isEmpty();
    fleet.report();
    assertThat(decide()).hasSize(1);
  }
}
