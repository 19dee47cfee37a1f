package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Executes maintenance waves.
 *
 * <p>Each host is cordoned, its long-running tasks are moved, its short tasks finish, and then it
 * is taken down. Hosts with the fewest runs go first. The number of hosts of a wave that are
 * cordoned or down at the same time stays within the wave's limit. A pool loses more than one host
 * at a time only while the remaining hosts cover its demand. Not thread-safe.
 */
final class MaintenanceWaves {
  /** Short tasks that still run this long after their host was cordoned are ended, in ms. */
  private static final long DRAIN_TIMEOUT_MILLIS = 5_000;

  private final TreeMap<Integer, WaveInProgress> waves = new TreeMap<>();
  private final WorkerTable workers;
  private final Evacuation evacuation;
  private Set<String> runningPools = Set.of();

  MaintenanceWaves(WorkerTable workers, Evacuation evacuation) {
    this.workers = workers;
    this.evacuation = evacuation;
  }

  void add(WaveOrder order, WaveProgress progress) {
    waves.computeIfAbsent(order.number(), key -> new WaveInProgress(order, progress));
  }

  /** Returns whether a wave has cordoned the host or taken it down; it must not be moved then. */
  boolean isCordonedOrDown(String machine) {
    return waves.values().stream().anyMatch(wave -> wave.isCordonedOrDown(machine));
  }

  /** Returns whether a wave has yet to take the host down. */
  boolean isPending(String machine) {
    return waves.values().stream().anyMatch(wave -> wave.isPending(machine));
  }

  /**
   * Adds the host and task orders to send now.
   *
   * @param neededHosts number of hosts that the demand of each running pool requires
   */
  void decide(
      Map<String, MachineFacts> machines,
      Map<String, Integer> neededHosts,
      List<MachineOrder> machineOrders,
      List<Order> taskOrders,
      long nowMillis) {
    runningPools = Set.copyOf(neededHosts.keySet());
    for (WaveInProgress wave : waves.values()) {
      for (String machine : wave.removeReturned(machines, nowMillis)) {
        // If an earlier owner already had the host maintained, its worker is still cordoned.
        release(wave, machines.get(machine), machine);
      }
      if (!wave.progress().isComplete()) {
        advance(wave, machines, neededHosts, machineOrders, taskOrders, nowMillis);
      }
    }
  }

  private void advance(
      WaveInProgress wave,
      Map<String, MachineFacts> machines,
      Map<String, Integer> neededHosts,
      List<MachineOrder> machineOrders,
      List<Order> taskOrders,
      long nowMillis) {
    for (String machine : List.copyOf(wave.cordoned.keySet())) {
      drain(wave, machines.get(machine), machine, machineOrders, taskOrders, nowMillis);
    }
    for (MachineFacts candidate : candidates(wave, machines)) {
      if (wave.unavailableCount(machines) >= wave.order.maxAtOnce()) {
        break;
      }
      if (canTakeHostFrom(candidate.pool(), machines, neededHosts)) {
        wave.cordoned.put(candidate.id(), nowMillis);
        workers.cordon(candidate.worker(), true);
      }
    }
    wave.completeIfAllBegun(machines.keySet());
  }

  private void drain(
      WaveInProgress wave,
      MachineFacts facts,
      String machine,
      List<MachineOrder> machineOrders,
      List<Order> taskOrders,
      long nowMillis) {
    WorkerState worker = facts == null ? null : workers.find(facts.worker());
    if (worker != null) {
      worker.isCordoned = true;
    }
    if (obstacle(wave, facts, machine, nowMillis) == Obstacle.NONE) {
      machineOrders.add(new MachineOrder.Maintain(machine, wave.order.number()));
    } else if (worker != null && worker.hasReported) {
      evacuation.evacuate(worker, taskOrders, nowMillis);
    }
  }

  /** The reason why a cordoned host cannot be taken down yet. */
  private enum Obstacle {
    NONE,
    NOT_UP,
    UNHEARD,
    LASTING_TASKS,
    UNRECORDED_ENDS,
    SHORT_TASKS
  }

  private Obstacle obstacle(
      WaveInProgress wave, MachineFacts facts, String machine, long nowMillis) {
    if (facts == null || facts.state() != MachineFacts.State.UP) {
      return Obstacle.NOT_UP;
    }
    WorkerState worker = workers.find(facts.worker());
    if (worker == null) {
      return isUnknownWorkerTerminated(wave, facts, machine, nowMillis)
          ? Obstacle.NONE
          : Obstacle.UNHEARD;
    }
    if (!worker.hasReported) {
      return Obstacle.UNHEARD;
    }
    if (evacuation.hasLongRunningTask(worker)) {
      return Obstacle.LASTING_TASKS;
    }
    if (worker.hasUnrecordedEnds()) {
      return Obstacle.UNRECORDED_ENDS;
    }
    return isWithinDrainTimeout(wave, machine, nowMillis) && !worker.runs.isEmpty()
        ? Obstacle.SHORT_TASKS
        : Obstacle.NONE;
  }

  /**
   * Returns whether a host with an unknown worker runs no tasks: the host is switched off, or its
   * worker has been absent from the worker list for longer than that list can lag.
   */
  private boolean isUnknownWorkerTerminated(
      WaveInProgress wave, MachineFacts facts, String machine, long nowMillis) {
    boolean isOff = facts.worker().isEmpty() || !runningPools.contains(facts.pool());
    return isOff || (workers.isListKnown() && !isWithinDrainTimeout(wave, machine, nowMillis));
  }

  private static boolean isWithinDrainTimeout(WaveInProgress wave, String machine, long nowMillis) {
    return nowMillis - wave.cordoned.get(machine) < DRAIN_TIMEOUT_MILLIS;
  }

  /** Returns the incomplete waves with their cordoned hosts and obstacles, for logs. */
  String outline(Map<String, MachineFacts> machines, long nowMillis) {
    StringBuilder line = new StringBuilder();
    for (WaveInProgress wave : waves.values()) {
      if (wave.progress().isComplete()) {
        continue;
      }
      line.append("wave").append(wave.order.number()).append("=begun:");
      line.append(wave.progress().begun().size()).append('/').append(wave.order.machines().size());
      line.append(",down:").append(wave.down());
      for (String machine : wave.cordoned.keySet()) {
        Obstacle obstacle = obstacle(wave, machines.get(machine), machine, nowMillis);
        line.append(',').append(machine).append(':').append(obstacle);
      }
      line.append(' ');
    }
    return line.toString().strip();
  }

  private List<MachineFacts> candidates(WaveInProgress wave, Map<String, MachineFacts> machines) {
    List<MachineFacts> candidates = new ArrayList<>();
    for (String machine : wave.order.machines()) {
      MachineFacts facts = machines.get(machine);
      if (facts != null
          && facts.state() == MachineFacts.State.UP
          && wave.isPending(machine)
          && !isCordonedOrDown(machine)) {
        candidates.add(facts);
      }
    }
    candidates.sort(Comparator.comparingInt(this::runCount).thenComparing(MachineFacts::id));
    return candidates;
  }

  private int runCount(MachineFacts facts) {
    return workers.runCount(facts.worker());
  }

  private boolean canTakeHostFrom(
      String pool, Map<String, MachineFacts> machines, Map<String, Integer> neededHosts) {
    int usable = 0;
    int hostsInWave = 0;
    for (MachineFacts facts : machines.values()) {
      if (facts.pool().equals(pool)) {
        boolean isInWave = isCordonedOrDown(facts.id());
        hostsInWave += isInWave ? 1 : 0;
        usable += !isInWave && facts.state() == MachineFacts.State.UP ? 1 : 0;
      }
    }
    return hostsInWave == 0 || usable > neededHosts.getOrDefault(pool, 0);
  }

  void orderAnswered(
      MachineOrder.Maintain order,
      MachineOrder.Result result,
      Map<String, MachineFacts> machines,
      long nowMillis) {
    WaveInProgress wave = waves.get(order.wave());
    if (wave == null) {
      return;
    }
    if (result == MachineOrder.Result.DONE) {
      MachineFacts facts = machines.get(order.machine());
      wave.markBegun(order.machine(), facts == null ? "" : facts.worker(), nowMillis);
    } else if (result == MachineOrder.Result.REFUSED) {
      release(wave, machines.get(order.machine()), order.machine());
    }
  }

  private void release(WaveInProgress wave, MachineFacts facts, String machine) {
    wave.cordoned.remove(machine);
    if (facts != null) {
      workers.cordon(facts.worker(), false);
    }
  }

  Collection<WaveProgress> takeChanges() {
    List<WaveProgress> changed = new ArrayList<>();
    for (WaveInProgress wave : waves.values()) {
      if (wave.getAndClearDirty()) {
        changed.add(wave.progress());
      }
    }
    return changed;
  }
}
