package org.persimmonloom.core.capacity;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobState;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.release.PoolDefinition;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.routing.ServiceLoad;

/**
 * Computes the current demand of each pool, in the slots defined by {@link PoolSlots}.
 *
 * <p>The demand of a pool of executors is the number of requests that its services have queued and
 * in progress at all registered entry hosts. If the report of an entry host is missing, or lacks
 * one of the services, the sum would be too low and the pool gets no reading. The demand of a pool
 * of workers is the number of cores requested by queued and live jobs, which is always known from
 * the fold. Parked jobs have no demand. Pure; must be called where the fleet state may be read.
 */
public final class PoolDemand {
  private PoolDemand() {}

  /**
   * Returns the demand in slots of each pool whose demand is known; other pools are absent.
   *
   * @param loads loads by service, by name of the entry host; contains this host and every peer
   *     whose heartbeats arrive
   */
  public static Map<String, Double> read(
      FleetState fleet, Map<String, Map<String, ServiceLoad>> loads) {
    Map<String, Double> cores = coresByService(fleet.jobs().jobs());
    Map<String, Double> demands = new TreeMap<>();
    for (PoolDefinition pool : fleet.releases().pools().values()) {
      List<ServiceDefinition> services = PoolSlots.services(fleet, pool);
      if (services.isEmpty()) {
        continue;
      }
      if (pool.holdsWorkers()) {
        double sum =
            services.stream().mapToDouble(service -> cores.getOrDefault(service.name(), 0.0)).sum();
        demands.put(pool.name(), sum);
      } else {
        executorSlots(fleet, pool, services, loads)
            .ifPresent(slots -> demands.put(pool.name(), slots));
      }
    }
    return demands;
  }

  private static Optional<Double> executorSlots(
      FleetState fleet,
      PoolDefinition pool,
      List<ServiceDefinition> services,
      Map<String, Map<String, ServiceLoad>> loads) {
    int perHost = PoolSlots.perHost(fleet, pool);
    double slots = 0;
    for (EntryHost entry : fleet.entryHosts().live()) {
      Map<String, ServiceLoad> reported = loads.getOrDefault(entry.name(), Map.of());
      for (ServiceDefinition service : services) {
        ServiceLoad load = reported.get(service.name());
        if (load == null) {
          return Optional.empty();
        }
        double scale = (double) perHost / service.slotsPerEndpoint();
        slots += (load.queued() + load.inProgress()) * scale;
      }
    }
    return Optional.of(slots);
  }

  private static Map<String, Double> coresByService(Collection<Job> jobs) {
    Map<String, Double> cores = new HashMap<>();
    for (Job job : jobs) {
      if (job.live() != null) {
        cores.merge(job.spec().service(), (double) job.live().size().cores(), Double::sum);
      } else if (job.state() == JobState.QUEUED) {
        cores.merge(job.spec().service(), (double) job.spec().size().cores(), Double::sum);
      }
    }
    return cores;
  }
}
