package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Moves hosts between pools so that capacity follows demand.
 *
 * <p>A pool with too few hosts first keeps the hosts that it was retiring, then receives idle hosts
 * of other pools, then switched-off hosts of a spare pool. A pool with too many hosts retires those
 * with the fewest runs: they are cordoned, their long-running tasks are moved after {@link
 * #EVACUATE_AFTER_MILLIS}, and they move to a spare pool once idle for {@link #IDLE_MILLIS}. Only
 * hosts without runs are moved. Among hosts that are otherwise equal, those that a maintenance wave
 * has yet to take down are retired first and brought back last, because maintenance of a
 * switched-off host interrupts no tasks. Not thread-safe.
 */
final class PoolBalancer {
  /**
   * Idle time after which a host moves to a spare pool, in ms. A move costs about as much as
   * keeping a host idle for this time.
   */
  private static final long IDLE_MILLIS = 1_500;

  /** A host that stays unneeded for this time justifies moving its long-running tasks, in ms. */
  private static final long EVACUATE_AFTER_MILLIS = 3_000;

  /** A move that the host list does not show complete after this time is abandoned, in ms. */
  private static final long MOVE_TIMEOUT_MILLIS = 6_000;

  /** Time for which a host is not moved after its move was refused, in ms. */
  private static final long REFUSED_MOVE_BACKOFF_MILLIS = 5_000;

  /** Time for which a host is not moved after the service was too busy for its move, in ms. */
  private static final long POSTPONED_MOVE_BACKOFF_MILLIS = 500;

  private final WorkerTable workers;
  private final MaintenanceWaves waves;
  private final Evacuation evacuation;
  private final Map<String, Move> moves = new HashMap<>();
  private final Map<String, Long> idleSince = new HashMap<>();
  private final Map<String, Long> refusedUntil = new HashMap<>();

  /** Time at which each retiring host began to retire; retiring hosts are cordoned. */
  private final Map<String, Long> retiringSince = new HashMap<>();

  /** Target number of hosts of each pool at the last decision. */
  private final Map<String, Integer> targets = new HashMap<>();

  private record Move(String pool, String previousWorker, long orderedMillis) {}

  PoolBalancer(WorkerTable workers, MaintenanceWaves waves, Evacuation evacuation) {
    this.workers = workers;
    this.waves = waves;
    this.evacuation = evacuation;
  }

  /** Moves none of the hosts before the given time. */
  void postpone(Collection<String> hosts, long untilMillis) {
    hosts.forEach(host -> refusedUntil.put(host, untilMillis));
  }

  List<MachineOrder> decide(
      Map<String, MachineFacts> machines,
      Set<String> services,
      Set<String> spareServices,
      PoolDemand demand,
      List<Order> taskOrders,
      long nowMillis) {
    removeFinishedMoves(machines, nowMillis);
    updateIdleSince(machines, services, nowMillis);
    retiringSince.keySet().removeIf(id -> !machines.containsKey(id) || isMovingOrInWave(id));
    List<MachineOrder> orders = new ArrayList<>();
    if (spareServices.isEmpty()) {
      return orders;
    }
    Map<String, Integer> surplus = new HashMap<>();
    for (String service : services) {
      int target =
          PoolTarget.hosts(demand.of(service), PoolTarget.meanCapacity(service, machines.values()));
      targets.put(service, target);
      surplus.put(service, hostCount(service, machines) - target);
    }
    List<String> byShortage = new ArrayList<>(services);
    byShortage.sort(Comparator.comparingInt(surplus::get));
    for (String service : byShortage) {
      fillShortage(service, machines, surplus, spareServices, orders, nowMillis);
    }
    for (String service : services) {
      if (demand.of(service).waiting > 0) {
        cancelRetirements(service, machines);
      } else {
        int presentSurplus = presentCount(service, machines) - targets.get(service);
        retireSurplus(service, machines, Math.min(surplus.get(service), presentSurplus), nowMillis);
      }
    }
    String spare = spareServices.stream().sorted().findFirst().orElseThrow();
    for (String id : List.copyOf(retiringSince.keySet())) {
      MachineFacts facts = machines.get(id);
      workers.cordon(facts.worker(), true);
      if (isIdle(facts, nowMillis, IDLE_MILLIS) && isMovable(facts, spare, nowMillis)) {
        orders.add(move(facts, spare, nowMillis));
      } else if (nowMillis - retiringSince.get(id) >= EVACUATE_AFTER_MILLIS) {
        evacuate(facts, taskOrders, nowMillis);
      }
    }
    return orders;
  }

  /** Returns the target and the hosts of each pool, for logs. */
  String outline(Map<String, MachineFacts> machines) {
    StringBuilder line = new StringBuilder();
    for (String service : new TreeSet<>(targets.keySet())) {
      line.append(service).append("=target:").append(targets.get(service));
      line.append(",hosts:").append(hostCount(service, machines));
      line.append(",arriving:").append(arrivingCount(service));
      line.append(",retiring:").append(retiringCount(service, machines)).append(' ');
    }
    return line.toString().strip();
  }

  private long arrivingCount(String service) {
    return moves.values().stream().filter(move -> move.pool().equals(service)).count();
  }

  private long retiringCount(String service, Map<String, MachineFacts> machines) {
    return retiringSince.keySet().stream()
        .map(machines::get)
        .filter(facts -> facts != null && facts.pool().equals(service))
        .count();
  }

  /** Adds hosts to a pool with too few, as far as hosts are available. */
  private void fillShortage(
      String service,
      Map<String, MachineFacts> machines,
      Map<String, Integer> surplus,
      Set<String> spareServices,
      List<MachineOrder> orders,
      long nowMillis) {
    while (surplus.get(service) < 0) {
      MachineFacts kept = busiestRetiring(service, machines);
      if (kept != null) {
        cancelRetirement(kept);
      } else {
        MachineFacts donor = donor(service, machines, surplus, spareServices, nowMillis);
        if (donor == null) {
          return;
        }
        if (!retiringSince.containsKey(donor.id())) {
          surplus.computeIfPresent(donor.pool(), (pool, count) -> count - 1);
        }
        orders.add(move(donor, service, nowMillis));
      }
      surplus.merge(service, 1, Integer::sum);
    }
  }

  /** Cancels all retirements: waiting tasks may need what only some hosts have, such as a label. */
  private void cancelRetirements(String service, Map<String, MachineFacts> machines) {
    MachineFacts kept = busiestRetiring(service, machines);
    while (kept != null) {
      cancelRetirement(kept);
      kept = busiestRetiring(service, machines);
    }
  }

  private void cancelRetirement(MachineFacts facts) {
    retiringSince.remove(facts.id());
    workers.cordon(facts.worker(), false);
  }

  private MachineFacts busiestRetiring(String service, Map<String, MachineFacts> machines) {
    return retiringSince.keySet().stream()
        .map(machines::get)
        .filter(facts -> facts.pool().equals(service))
        .max(Comparator.comparingInt(this::runCount).thenComparing(MachineFacts::id))
        .orElse(null);
  }

  private void retireSurplus(
      String service, Map<String, MachineFacts> machines, int surplus, long nowMillis) {
    machines.values().stream()
        .filter(facts -> facts.pool().equals(service))
        .filter(facts -> facts.state() == MachineFacts.State.UP && !isMovingOrInWave(facts.id()))
        .filter(facts -> !retiringSince.containsKey(facts.id()))
        .sorted(
            Comparator.comparingInt(this::runCount)
                .thenComparing(facts -> !waves.isPending(facts.id()))
                .thenComparing(MachineFacts::id))
        .limit(Math.max(0, surplus))
        .forEach(facts -> retiringSince.put(facts.id(), nowMillis));
  }

  private void evacuate(MachineFacts facts, List<Order> taskOrders, long nowMillis) {
    WorkerState worker = workers.find(facts.worker());
    if (worker != null && worker.hasReported) {
      evacuation.evacuate(worker, taskOrders, nowMillis);
    }
  }

  private int runCount(MachineFacts facts) {
    return workers.runCount(facts.worker());
  }

  private boolean isMovingOrInWave(String machine) {
    return moves.containsKey(machine) || waves.isCordonedOrDown(machine);
  }

  private MachineOrder move(MachineFacts facts, String pool, long nowMillis) {
    moves.put(facts.id(), new Move(pool, facts.worker(), nowMillis));
    retiringSince.remove(facts.id());
    workers.cordon(facts.worker(), true);
    return new MachineOrder.Move(facts.id(), pool);
  }

  private void removeFinishedMoves(Map<String, MachineFacts> machines, long nowMillis) {
    moves
        .entrySet()
        .removeIf(
            entry -> {
              MachineFacts facts = machines.get(entry.getKey());
              Move move = entry.getValue();
              boolean hasArrived =
                  facts != null
                      && facts.state() == MachineFacts.State.UP
                      && facts.pool().equals(move.pool())
                      && !facts.worker().equals(move.previousWorker());
              boolean isOverdue = nowMillis - move.orderedMillis() > MOVE_TIMEOUT_MILLIS;
              if (isOverdue && facts != null) {
                workers.cordon(facts.worker(), false);
              }
              return facts == null || hasArrived || isOverdue;
            });
  }

  private void updateIdleSince(
      Map<String, MachineFacts> machines, Set<String> services, long nowMillis) {
    for (MachineFacts facts : machines.values()) {
      WorkerState worker = workers.find(facts.worker());
      boolean isIdle =
          services.contains(facts.pool())
              && worker != null
              && worker.hasReported
              && worker.runs.isEmpty()
              && !worker.hasUnrecordedEnds();
      if (isIdle) {
        idleSince.putIfAbsent(facts.id(), nowMillis);
      } else {
        idleSince.remove(facts.id());
      }
    }
  }

  private boolean isIdle(MachineFacts facts, long nowMillis, long minIdleMillis) {
    Long since = idleSince.get(facts.id());
    return since != null && nowMillis - since >= minIdleMillis;
  }

  /** Returns how many usable hosts the pool has or is about to receive, without retiring hosts. */
  private int hostCount(String service, Map<String, MachineFacts> machines) {
    int count = 0;
    for (MachineFacts facts : machines.values()) {
      Move move = moves.get(facts.id());
      String pool = move == null ? facts.pool() : move.pool();
      boolean isUsable =
          facts.state() != MachineFacts.State.DOWN
              && !waves.isCordonedOrDown(facts.id())
              && !retiringSince.containsKey(facts.id());
      count += pool.equals(service) && isUsable ? 1 : 0;
    }
    return count;
  }

  /** Returns how many usable hosts the pool has now, without retiring and arriving hosts. */
  private int presentCount(String service, Map<String, MachineFacts> machines) {
    return hostCount(service, machines) - (int) arrivingCount(service);
  }

  private MachineFacts donor(
      String service,
      Map<String, MachineFacts> machines,
      Map<String, Integer> surplus,
      Set<String> spareServices,
      long nowMillis) {
    return machines.values().stream()
        .filter(facts -> canDonate(facts, surplus, spareServices, nowMillis))
        .filter(facts -> isMovable(facts, service, nowMillis))
        .min(
            // An idle host comes before a switched-off one, which saves its later move.
            Comparator.comparing((MachineFacts facts) -> spareServices.contains(facts.pool()))
                .thenComparing(facts -> waves.isPending(facts.id()))
                .thenComparing(MachineFacts::id))
        .orElse(null);
  }

  private boolean canDonate(
      MachineFacts facts, Map<String, Integer> surplus, Set<String> spareServices, long nowMillis) {
    boolean isUnneeded =
        surplus.getOrDefault(facts.pool(), 0) > 0 || retiringSince.containsKey(facts.id());
    return spareServices.contains(facts.pool()) || (isUnneeded && isIdle(facts, nowMillis, 0));
  }

  private boolean isMovable(MachineFacts facts, String pool, long nowMillis) {
    return facts.state() == MachineFacts.State.UP
        && !facts.pool().equals(pool)
        && !isMovingOrInWave(facts.id())
        && refusedUntil.getOrDefault(facts.id(), 0L) <= nowMillis;
  }

  void orderAnswered(
      MachineOrder.Move order,
      MachineOrder.Result result,
      Map<String, MachineFacts> machines,
      long nowMillis) {
    if (result == MachineOrder.Result.DONE || result == MachineOrder.Result.UNKNOWN) {
      return;
    }
    moves.remove(order.machine());
    long backoffMillis =
        result == MachineOrder.Result.TRY_LATER
            ? POSTPONED_MOVE_BACKOFF_MILLIS
            : REFUSED_MOVE_BACKOFF_MILLIS;
    refusedUntil.put(order.machine(), nowMillis + backoffMillis);
    MachineFacts facts = machines.get(order.machine());
    if (facts != null) {
      workers.cordon(facts.worker(), false);
    }
  }
}
