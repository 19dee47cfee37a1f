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
 * Schedules maintenance waves and moves between pools for worker hosts. Not thread-safe.
 *
 * <p>A new owner gives no orders about hosts for one duty lease, so that orders of two owners for
 * the same host never alternate within that interval. If it knows which hosts the previous owner
 * has ordered lately, it moves the others between pools at once, as a take-over in a burst needs
 * hosts soon; waves wait, since they also depend on which hosts are down.
 */
public final class MachineScheduler {
  private final MaintenanceWaves waves;
  private final PoolBalancer balancer;
  private final OccurrenceTable occurrenceTable;
  private final WorkerTable workers;

  /** The host that was last listed with each known worker while it was up. */
  private final Map<String, String> hostsByWorker = new HashMap<>();

  private final Map<String, MachineFacts> machines = new HashMap<>();

  /** The workers named in the platform's host list. */
  private final Set<String> namedWorkers = new HashSet<>();

  /** Whether a listed host is down, which may hide a worker of any pool. */
  private boolean isAnyHostDown;

  /**
   * Whether the host list lacks a host of the list before it or has one twice. Its pages are read
   * one after the other, so that a host may have moved from a page that was not read yet to one
   * that was.
   */
  private boolean isListIncomplete;

  /**
   * Pools with a host that is up and listed without a worker, whose registration may have lapsed,
   * or with one that has left the published list, so that this list may be older than the present
   * worker. Switched-off hosts are in pools without workers.
   */
  private final Set<String> poolsWithUnnamedWorkers = new HashSet<>();

  /**
   * Pools with a host that is up and listed with a worker which this owner does not know. It may be
   * an earlier worker of the host, as the start of a later one is published.
   */
  private final Set<String> poolsWithUnknownWorkers = new HashSet<>();

  /** When the present host list was requested. */
  private long listSentMillis;

  private final Set<MachineOrder> inFlight = new HashSet<>();
  private final long notBeforeMillis;
  private boolean areEarlierOrdersKnown;
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

  /** Applies the hosts that the previous owner may have ordered within the last duty lease. */
  public void earlierOrdersKnown(Collection<String> hosts) {
    areEarlierOrdersKnown = true;
    balancer.postpone(hosts, notBeforeMillis);
  }

  /** Returns whether the host list may be requested; the list of workers must be read first. */
  public boolean canListMachines() {
    return workers.isListKnown();
  }

  /**
   * Applies the platform's host list. According to it, a worker has terminated if its host is
   * moving, is in maintenance, or has another worker. A silent worker from the previous term has
   * also terminated if no host has it and no host may hide it, because the worker list is read
   * before the host list.
   *
   * @param sentMillis monotonic time at which the list was requested
   */
  public void machinesListed(Collection<MachineFacts> listed, long sentMillis, long nowMillis) {
    listSentMillis = sentMillis;
    Set<String> previousHosts = Set.copyOf(machines.keySet());
    machines.clear();
    namedWorkers.clear();
    isAnyHostDown = false;
    poolsWithUnnamedWorkers.clear();
    poolsWithUnknownWorkers.clear();
    for (MachineFacts facts : listed) {
      machines.put(facts.id(), facts);
      boolean isUp = facts.state() == MachineFacts.State.UP;
      if (isUp && !facts.worker().isEmpty()) {
        hostsByWorker.put(facts.worker(), facts.id());
        workers.workerAlive(facts.worker());
      }
      namedWorkers.add(facts.worker());
      isAnyHostDown |= facts.worker().isEmpty() && facts.state() == MachineFacts.State.DOWN;
      if (isUp && (facts.worker().isEmpty() || workers.hasLeftList(facts.worker()))) {
        poolsWithUnnamedWorkers.add(facts.pool());
      } else if (isUp && !workers.isKnown(facts.worker())) {
        poolsWithUnknownWorkers.add(facts.pool());
      }
    }
    isListIncomplete =
        machines.size() < listed.size() || !machines.keySet().containsAll(previousHosts);
    hostsByWorker.keySet().removeIf(worker -> workers.find(worker) == null);
    hostsByWorker.forEach(
        (worker, host) -> {
          MachineFacts facts = machines.get(host);
          if (facts != null && hasTerminated(worker, facts)) {
            workers.workerTerminated(worker, sentMillis, nowMillis);
          }
        });
    workers.silentFromPreviousTerm().forEach(worker -> workerUnreachable(worker, nowMillis));
  }

  /** Handles a worker from the previous term that does not respond. */
  void workerUnreachable(String worker, long nowMillis) {
    if (!machines.isEmpty() && !namedWorkers.contains(worker) && !mayBeUnnamed(worker)) {
      workers.workerTerminated(worker, listSentMillis, nowMillis);
    }
  }

  /**
   * Returns whether a worker may run on a host that the list shows without its worker. Everything
   * on a host ends when it moves, so that a worker stays in the pool of its service.
   */
  private boolean mayBeUnnamed(String worker) {
    WorkerState state = workers.find(worker);
    if (isAnyHostDown || isListIncomplete) {
      return true;
    }
    if (state == null) {
      return false;
    }
    String pool = state.facts.service();
    return poolsWithUnnamedWorkers.contains(pool)
        || (state.isPublished && poolsWithUnknownWorkers.contains(pool));
  }

  private boolean hasTerminated(String worker, MachineFacts facts) {
    return switch (facts.state()) {
      case MOVING, IN_MAINTENANCE -> true;
      case UP ->
          !facts.worker().isEmpty()
              && !facts.worker().equals(worker)
              && workers.mayHaveReplaced(facts.worker(), worker);
      // The host may only be disconnected while its worker keeps running.
      case DOWN -> false;
    };
  }

  /** Returns the progress of incomplete waves, for logs; empty if there are none. */
  public String outline(long nowMillis) {
    return waves.outline(machines, nowMillis);
  }

  /** Returns the targets and hosts of the pools, for logs; empty before the first decision. */
  public String outlinePools() {
    return balancer.outline(machines);
  }

  /**
   * Adds an operator's wave.
   *
   * @param recorded recorded progress of the wave; null if there is none
   */
  public void waveOrdered(WaveOrder order, WaveProgress recorded) {
    waves.add(order, recorded == null ? WaveProgress.none(order.number()) : recorded);
  }

  /** Returns the host orders to send now, and adds the task orders to send to {@code tasks}. */
  public List<MachineOrder> decide(List<Order> tasks, long nowMillis, long wallMillis) {
    List<MachineOrder> orders = new ArrayList<>();
    boolean isEarly = nowMillis < notBeforeMillis;
    if (machines.isEmpty() || (isEarly && !areEarlierOrdersKnown)) {
      return orders;
    }
    PoolDemand demand = PoolDemand.of(occurrenceTable, services, nowMillis, wallMillis);
    Map<String, Integer> needed = new HashMap<>();
    for (String service : services) {
      Resources capacity = PoolTarget.meanCapacity(service, machines.values());
      needed.put(service, (int) Math.ceil(demand.of(service).workers(capacity)));
    }
    if (!isEarly) {
      waves.decide(machines, needed, orders, tasks, nowMillis);
    }
    orders.addAll(balancer.decide(machines, services, spareServices, demand, tasks, nowMillis));
    orders.removeIf(order -> !inFlight.add(order));
    return orders;
  }

  /** Applies the platform's response to an order. */
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
