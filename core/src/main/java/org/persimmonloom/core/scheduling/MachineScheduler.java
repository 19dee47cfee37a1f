package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.workflow.Resources;

/**
 * Decides about worker hosts: maintenance waves and moves between pools. Not thread-safe.
 *
 * <p>A new owner gives no such orders for one duty lease, so that orders of two owners for one host
 * never alternate within it.
 */
public final class MachineScheduler {
  private final MaintenanceWaves waves;
  private final PoolBalancer balancer;
  private final OccurrenceTable occurrenceTable;
  private final WorkerTable workers;

  /** The worker that each host was last seen up with. */
  private final Map<String, String> lastWorkers = new HashMap<>();

  private final Map<String, MachineFacts> machines = new HashMap<>();

  /** The workers that the platform's list names. */
  private final Set<String> namedWorkers = new HashSet<>();

  /** Whether every worker that may be alive is named; a lost host may hide its worker. */
  private boolean areAllWorkersNamed;

  private final Set<MachineOrder> inFlight = new HashSet<>();
  private final long notBeforeMillis;
  private Set<String> services = Set.of();
  private Set<String> spareServices = Set.of();

  MachineScheduler(
      WorkerTable workers,
      OccurrenceTable occurrenceTable,
      long earlierStopMillis,
      long notBeforeMillis) {
    this.occurrenceTable = occurrenceTable;
    this.workers = workers;
    this.notBeforeMillis = notBeforeMillis;
    Evacuation evacuation = new Evacuation(occurrenceTable, workers, earlierStopMillis);
    waves = new MaintenanceWaves(workers, evacuation);
    balancer = new PoolBalancer(workers, waves, evacuation);
  }

  void configure(Set<String> running, Set<String> spare) {
    services = Set.copyOf(running);
    spareServices = Set.copyOf(spare);
  }

  /** Returns whether the list of hosts may be asked for: only after the workers were listed. */
  public boolean canListMachines() {
    return workers.isListKnown();
  }

  /**
   * Takes over the platform's list of hosts. A worker whose host is shown on its way, or with
   * another worker, has ended. So has a silent worker of the last term that no host is shown with,
   * since it was listed before the hosts were.
   */
  public void machinesListed(Collection<MachineFacts> listed) {
    machines.clear();
    namedWorkers.clear();
    areAllWorkersNamed = true;
    for (MachineFacts facts : listed) {
      machines.put(facts.id(), facts);
      boolean isUp = facts.state() == MachineFacts.State.UP;
      String previous = lastWorkers.getOrDefault(facts.id(), "");
      if (!previous.isEmpty() && hasEnded(previous, facts)) {
        workers.workerTerminated(previous);
        lastWorkers.remove(facts.id());
      }
      if (isUp && !facts.worker().isEmpty()) {
        lastWorkers.put(facts.id(), facts.worker());
        workers.workerAlive(facts.worker());
      }
      namedWorkers.add(facts.worker());
      areAllWorkersNamed &= facts.state() != MachineFacts.State.DOWN || !facts.worker().isEmpty();
    }
    workers.silentFromPreviousTerm().forEach(this::workerUnreachable);
  }

  /** Notes that a worker of the last term does not answer. */
  void workerUnreachable(String worker) {
    if (!machines.isEmpty() && areAllWorkersNamed && !namedWorkers.contains(worker)) {
      workers.workerTerminated(worker);
    }
  }

  private static boolean hasEnded(String worker, MachineFacts facts) {
    return switch (facts.state()) {
      case MOVING, IN_MAINTENANCE -> true;
      case UP -> !facts.worker().isEmpty() && !facts.worker().equals(worker);
      // The host may be cut off while its worker runs on.
      case DOWN -> false;
    };
  }

  /** Returns the waves in progress for logs; empty if there are none. */
  public String outline(long nowMillis) {
    return waves.outline(machines, nowMillis);
  }

  /** Takes over an operator's wave and what is recorded of it. */
  public void waveOrdered(WaveOrder order, WaveProgress recorded) {
    waves.add(order, recorded == null ? WaveProgress.none(order.number()) : recorded);
  }

  /** Returns the orders about hosts to send now, and adds orders about tasks to {@code tasks}. */
  public List<MachineOrder> decide(List<Order> tasks, long nowMillis, long wallMillis) {
    List<MachineOrder> orders = new ArrayList<>();
    if (machines.isEmpty() || nowMillis < notBeforeMillis) {
      return orders;
    }
    PoolDemand demand = PoolDemand.of(occurrenceTable, wallMillis);
    Resources capacity = machines.values().iterator().next().capacity();
    Map<String, Integer> needed = new HashMap<>();
    for (String service : services) {
      needed.put(service, (int) Math.ceil(demand.of(service).workers(capacity)));
    }
    waves.decide(machines, needed, orders, tasks, nowMillis);
    orders.addAll(balancer.decide(machines, services, spareServices, demand, tasks, nowMillis));
    orders.removeIf(order -> !inFlight.add(order));
    return orders;
  }

  /** Takes over the platform's answer to an order. */
  public void orderAnswered(MachineOrder order, MachineOrder.Result result, long nowMillis) {
    inFlight.remove(order);
    if (order instanceof MachineOrder.Maintain maintain) {
      waves.orderAnswered(maintain, result, machines, nowMillis);
    } else if (order instanceof MachineOrder.Move move) {
      balancer.orderAnswered(move, result, machines, nowMillis);
    }
  }

  /** Returns the waves whose progress has changed since the last call. */
  public Collection<WaveProgress> takeWaveChanges() {
    return waves.takeChanges();
  }
}
