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
 * Reads the present demand of each pool, in slots as {@link PoolSlots} counts them.
 *
 * <p>The demand of a pool of executors is what its services have queued and in progress at all
 * registered entry hosts. If one of them is not heard, or says nothing of one of the services, the
 * sum would be too low, so that the pool has no demand reading at all. The demand of a pool of
 * workers is the cores asked by the jobs that are queued or live, which the fold always knows. Jobs
 * on hold ask for nothing. Pure; must be called where the fleet state may be read.
 */
public final class PoolDemand {
  private PoolDemand() {}

  /**
   * Returns the slots asked of each pool whose demand is known; other pools are absent.
   *
   * @param loads loads by service of each entry host that is heard, this one included, by its name
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
        double sum = services.stream().mapToDouble(it -> cores.getOrDefault(it.name(), 0.0)).sum();
        demands.put(pool.name(), sum);
      } else {
        executors(fleet, pool, services, loads).ifPresent(slots -> demands.put(pool.name(), slots));
      }
    }
    return demands;
  }

  private static Optional<Double> executors(
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
