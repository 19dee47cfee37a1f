package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.OptionalDouble;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.release.PoolDefinition;
import org.persimmonloom.core.release.ServiceDefinition;

/**
 * Defines the unit of demand of a pool. A slot of an executor is one request; a slot of a worker is
 * one core. Pure; reads the fleet state and must be called where that may be read.
 */
final class PoolSlots {
  private PoolSlots() {}

  /** Returns the services that use the pool, sorted by name. */
  static List<ServiceDefinition> services(FleetState fleet, PoolDefinition pool) {
    return fleet.releases().services().values().stream()
        .filter(
            service ->
                (pool.holdsWorkers() ? service.workers() : service.pool()).equals(pool.name()))
        .toList();
  }

  /**
   * Returns the slots of one host, at least 1. Services with different slots per endpoint may share
   * a pool of executors; the largest number is then used, and the load of the other services is
   * scaled to it. For workers of different sizes, it is the rounded mean number of cores.
   */
  static int perHost(FleetState fleet, PoolDefinition pool) {
    if (pool.holdsWorkers()) {
      OptionalDouble cores =
          fleet.hosts().inPool(pool.name()).stream()
              .map(Host::facts)
              .mapToInt(facts -> facts.cores())
              .average();
      return (int) Math.max(1, Math.round(cores.orElse(1)));
    }
    return services(fleet, pool).stream()
        .mapToInt(ServiceDefinition::slotsPerEndpoint)
        .max()
        .orElse(1);
  }
}
