package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.persimmonloom.core.capacity.DomainBudget;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.BudgetDefinition.Domain;

/**
 * The simulated hosts, pools and budgets. It grants a drain or a join only if every budget holds
 * with it, as the fold does, and recounts all budgets from scratch after each planned step.
 */
final class Fleet {
  private final List<SimPool> pools = new ArrayList<>();
  private int violations;
  private int refusals;

  Fleet(List<String> services, int spareService) {
    for (HostKind kind : HostKind.values()) {
      for (int service = 0; service < services.size(); service++) {
        String name = services.get(service) + (kind == HostKind.EXECUTOR ? "-exec" : "-work");
        SimPool pool = new SimPool(name, kind, service, service == spareService);
        for (int i = 0; i < FleetSizes.HOSTS_PER_POOL; i++) {
          pool.hosts.add(host(pool, i));
        }
        pools.add(pool);
      }
    }
  }

  private SimHost host(SimPool pool, int index) {
    int rack = pools.size() * 2 + index / FleetSizes.HOSTS_PER_RACK;
    return new SimHost(
        pool.name + "-" + index, "r" + rack, "dc" + rack % FleetSizes.DATA_CENTRES, pool);
  }

  List<SimPool> pools() {
    return pools;
  }

  List<SimHost> hosts() {
    return pools.stream().flatMap(pool -> pool.hosts.stream()).toList();
  }

  SimPool pool(String name) {
    return pools.stream().filter(pool -> pool.name.equals(name)).findFirst().orElseThrow();
  }

  int violations() {
    return violations;
  }

  int refusals() {
    return refusals;
  }

  /** Starts to drain a host if the budgets of its pool allow it. */
  boolean drain(SimHost host, SimHost.Purpose purpose, SimPool target, long nowMillis) {
    if (host.state != HostState.AVAILABLE || !hasRoom(host.pool, host)) {
      refusals++;
      return false;
    }
    host.purpose = purpose;
    host.target = target;
    host.enter(HostState.DRAINING, nowMillis);
    checkBudgets(host.pool);
    return true;
  }

  /** Puts a host that has left service into its new pool, in probation, if the budgets allow it. */
  boolean join(SimHost host, long nowMillis) {
    SimPool target = host.target;
    if (!hasRoom(target, host)) {
      return false;
    }
    host.pool.hosts.remove(host);
    target.hosts.add(host);
    target.sortHosts();
    host.pool = target;
    host.target = null;
    host.enter(HostState.RETURNED, nowMillis);
    checkBudgets(target);
    return true;
  }

  /** Returns whether one more host at this place may be unavailable in the pool. */
  boolean hasRoom(SimPool pool, SimHost host) {
    return rooms(pool, null).stream()
        .filter(room -> room.covers(host.rack, host.dataCentre))
        .allMatch(room -> room.unavailable() < room.maxUnavailable());
  }

  /** Returns the budgets of a pool; {@code isMissing} hosts count as lost. */
  List<DomainBudget> rooms(SimPool pool, Predicate<SimHost> isMissing) {
    List<DomainBudget> rooms = new ArrayList<>();
    rooms.add(room(pool, Domain.POOL, pool.name, FleetSizes.POOL_BUDGET, isMissing));
    pool.hosts.stream()
        .map(host -> host.rack)
        .distinct()
        .forEach(
            rack -> rooms.add(room(pool, Domain.RACK, rack, FleetSizes.RACK_BUDGET, isMissing)));
    pool.hosts.stream()
        .map(host -> host.dataCentre)
        .distinct()
        .forEach(
            dataCentre ->
                rooms.add(
                    room(
                        pool,
                        Domain.DATA_CENTRE,
                        dataCentre,
                        FleetSizes.DATA_CENTRE_BUDGET,
                        isMissing)));
    return rooms;
  }

  private static DomainBudget room(
      SimPool pool, Domain domain, String name, int limit, Predicate<SimHost> isMissing) {
    DomainBudget empty = new DomainBudget(domain, name, limit, 0);
    int unavailable = 0;
    for (SimHost host : pool.hosts) {
      boolean isAway =
          host.state != HostState.AVAILABLE || (isMissing != null && isMissing.test(host));
      if (isAway && empty.covers(host.rack, host.dataCentre)) {
        unavailable++;
      }
    }
    return new DomainBudget(domain, name, limit, unavailable);
  }

  private void checkBudgets(SimPool pool) {
    for (DomainBudget room : rooms(pool, null)) {
      if (room.unavailable() > room.maxUnavailable()) {
        violations++;
      }
    }
  }
}
