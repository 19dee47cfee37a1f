package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.release.TeamDefinition;

/**
 * A copy of the state that a planning run needs, so that planning does not hold the lock of the
 * fold. The planning run deducts capacity and quota from it. Not thread-safe.
 */
public final class PlanningState {
  private final long offset;
  private final List<Job> queued;
  private final Map<String, List<WorkerSlot>> slotsByPool = new TreeMap<>();
  private final Map<String, String> poolByService = new TreeMap<>();
  private final Map<String, JobSize> quotas = new TreeMap<>();
  private final Map<String, JobSize> used = new TreeMap<>();
  private final Map<String, JobSize> largestByPool = new TreeMap<>();
  private final Map<String, Map<String, JobDemand.ObservedQuantiles>> observedByKind =
      new HashMap<>();
  private final Map<String, JobDemand> demands = new HashMap<>();
  private final Map<String, int[]> attemptsByKindAndRack = new HashMap<>();
  private int rackCount;

  private PlanningState(FleetState fleet) {
    offset = fleet.nextOffset();
    queued = fleet.jobs().queued();
  }

  /** Copies the state. The caller must hold the lock of the fold. */
  public static PlanningState of(FleetState fleet, MaintenanceForecast forecast) {
    PlanningState state = new PlanningState(fleet);
    for (ServiceDefinition service : fleet.releases().services().values()) {
      state.poolByService.put(service.name(), service.workers());
    }
    for (TeamDefinition team : fleet.releases().teams().values()) {
      state.quotas.put(team.name(), JobTable.quota(team));
      state.used.put(team.name(), fleet.jobs().usedByTeam(team.name()));
    }
    state.addWorkers(fleet, forecast);
    state.addObserved(fleet);
    return state;
  }

  private void addWorkers(FleetState fleet, MaintenanceForecast forecast) {
    Map<String, Integer> rackIndices = new HashMap<>();
    for (Host host : fleet.hosts().all()) {
      if (host.facts().kind() != HostKind.WORKER) {
        continue;
      }
      String rack = host.facts().dataCentre() + '/' + host.facts().rack();
      int index = rackIndices.computeIfAbsent(rack, unused -> rackIndices.size());
      WorkerSlot slot =
          new WorkerSlot(
              host,
              fleet.jobs().worker(host.name()).orElse(null),
              fleet.jobs().liveAt(host.name()),
              fleet.jobs().usedByWorker(host.name()),
              index,
              forecast.nextDrainMillis(host.name()));
      slotsByPool.computeIfAbsent(host.pool(), unused -> new ArrayList<>()).add(slot);
      largestByPool.merge(host.pool(), slot.capacity(), PlanningState::componentMax);
    }
    rackCount = rackIndices.size();
  }

  /** Counts the live attempts by kind and rack. The caller need not hold the lock of the fold. */
  void countAttempts() {
    for (List<WorkerSlot> slots : slotsByPool.values()) {
      slots.forEach(slot -> slot.live().forEach(job -> countAttempt(job, slot)));
    }
  }

  private void addObserved(FleetState fleet) {
    JobEstimates estimates = fleet.jobs().estimates();
    queued.forEach(job -> addObserved(job, estimates));
    for (List<WorkerSlot> slots : slotsByPool.values()) {
      slots.forEach(slot -> slot.live().forEach(job -> addObserved(job, estimates)));
    }
  }

  private void addObserved(Job job, JobEstimates estimates) {
    observedByKind
        .computeIfAbsent(job.spec().service(), unused -> new HashMap<>())
        .computeIfAbsent(
            job.spec().kind(), unused -> JobDemand.ObservedQuantiles.of(job.spec(), estimates));
  }

  private JobSize limit(Job job) {
    JobSize quota = quota(job);
    JobSize largest = largestByPool.getOrDefault(poolOf(job), quota);
    return new JobSize(
        Math.min(quota.cores(), largest.cores()),
        Math.min(quota.memoryMb(), largest.memoryMb()),
        Math.min(quota.accelerators(), largest.accelerators()));
  }

  private static JobSize componentMax(JobSize first, JobSize second) {
    return new JobSize(
        Math.max(first.cores(), second.cores()),
        Math.max(first.memoryMb(), second.memoryMb()),
        Math.max(first.accelerators(), second.accelerators()));
  }

  long offset() {
    return offset;
  }

  List<Job> queued() {
    return queued;
  }

  String poolOf(Job job) {
    return poolByService.getOrDefault(job.spec().service(), "");
  }

  List<WorkerSlot> slots(Job job) {
    return slotsByPool.getOrDefault(poolOf(job), List.of());
  }

  /** Returns the largest value of each component among the workers of the job's pool. */
  JobSize largestIn(Job job) {
    return largestByPool.getOrDefault(poolOf(job), JobSize.NONE);
  }

  JobDemand demand(Job job) {
    return demands.computeIfAbsent(
        job.name(),
        unused ->
            JobDemand.of(
                job, observedByKind.get(job.spec().service()).get(job.spec().kind()), limit(job)));
  }

  JobSize quota(Job job) {
    return quotas.getOrDefault(job.spec().team(), JobSize.NONE);
  }

  JobSize used(Job job) {
    return used.getOrDefault(job.spec().team(), JobSize.NONE);
  }

  boolean isWithinQuota(Job job) {
    return used(job).plus(demand(job).size()).fitsIn(quota(job));
  }

  /** Returns the number of live attempts of the job's kind, by rack index. */
  int[] attemptsByRack(Job job) {
    return attemptsByKindAndRack.computeIfAbsent(
        JobEstimates.kindKey(job.spec()), unused -> new int[rackCount]);
  }

  void allocate(Job job, WorkerSlot slot) {
    slot.allocate(demand(job).size());
    used.merge(job.spec().team(), demand(job).size(), JobSize::plus);
    countAttempt(job, slot);
  }

  private void countAttempt(Job job, WorkerSlot slot) {
    attemptsByRack(job)[slot.rackIndex()]++;
  }
}
