package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Carries out the operators' maintenance waves.
 *
 * <p>A host is cordoned, its lasting tasks are moved and its short ones end, then it goes down. The
 * hosts with the least to move go first. No more hosts than the wave allows are cordoned or down at
 * once. A pool gives up a host only while the others carry its demand, or one at a time. Not
 * thread-safe.
 */
final class MaintenanceWaves {
  /** Short tasks that run longer than this on a cordoned host are cut off, in ms. */
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

  /** Returns whether a wave holds the host, so that nothing else is done with it. */
  boolean isCordonedOrDown(String machine) {
    return waves.values().stream().anyMatch(wave -> wave.isCordonedOrDown(machine));
  }

  /** Returns whether a wave still has to take the host down. */
  boolean isPending(String machine) {
    return waves.values().stream().anyMatch(wave -> wave.isPending(machine));
  }

  /**
   * Adds the orders that are due.
   *
   * @param neededHosts hosts that the demand of each running pool asks for
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
        // Its worker is still the cordoned one if the host had been maintained before.
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
    for (MachineFacts next : candidates(wave, machines)) {
      if (wave.unavailableCount(machines) >= wave.order.maxAtOnce()) {
        break;
      }
      if (canTakeHostFrom(next.pool(), machines, neededHosts)) {
        wave.cordoned.put(next.id(), nowMillis);
        workers.cordon(next.worker(), true);
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

  /** Why a cordoned host can't be taken down yet. */
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
   * Returns whether a host whose worker is unknown runs nothing: it is switched off, or the worker
   * is missing from the workers' list for longer than that list lags.
   */
  private boolean isUnknownWorkerTerminated(
      WaveInProgress wave, MachineFacts facts, String machine, long nowMillis) {
    boolean isOff = facts.worker().isEmpty() || !runningPools.contains(facts.pool());
    return isOff || (workers.isListKnown() && !isWithinDrainTimeout(wave, machine, nowMillis));
  }

  private static boolean isWithinDrainTimeout(WaveInProgress wave, String machine, long nowMillis) {
    return nowMillis - wave.cordoned.get(machine) < DRAIN_TIMEOUT_MILLIS;
  }

  /** Returns the waves in progress for logs, with the hosts that are held and why. */
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
