package org.persimmonloom.core.job;

import java.util.List;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.maintenance.MaintenancePlan;
import org.persimmonloom.core.maintenance.MaintenanceSteps;

/**
 * Selects the attempts to stop because their worker is being drained: repeatable attempts that are
 * not expected to end before the time limit of the drain, and repeatable attempts that still run
 * when the limit is reached. Attempts that are not repeatable run to completion. Pure; times are in
 * milliseconds.
 */
public final class DrainEviction {
  private DrainEviction() {}

  /** Returns the evictions to propose for a worker. The caller must hold the lock of the fold. */
  public static List<JobEvicted> evictions(FleetState fleet, String worker, long nowMillis) {
    Host host = fleet.hosts().find(worker).orElse(null);
    if (host == null || host.state() != HostState.DRAINING) {
      return List.of();
    }
    long limitMillis = host.stateMillis() + drainLimitMillis(host.drain());
    JobEstimates estimates = fleet.jobs().estimates();
    return fleet.jobs().liveAt(worker).stream()
        .filter(JobEvents::isEvictable)
        .filter(
            job ->
                nowMillis >= limitMillis
                    || expectedEndMillis(job, estimates, nowMillis) > limitMillis)
        .map(job -> new JobEvicted(job.name(), job.live().number(), host.drain().offset()))
        .toList();
  }

  /**
   * Returns the time limit of a drain. Maintenance waves are planned with the short limit, which
   * also applies to leaving hosts because the platform may remove them at any moment.
   */
  private static long drainLimitMillis(Drain drain) {
    return drain.cause() == Drain.Cause.MOVE
        ? MaintenanceSteps.MOVE_DRAIN_LIMIT_MILLIS
        : MaintenancePlan.DRAIN_MILLIS;
  }

  private static long expectedEndMillis(Job job, JobEstimates estimates, long nowMillis) {
    long startMillis = job.state() == JobState.RUNNING ? job.live().startedMillis() : nowMillis;
    return startMillis
        + estimates
            .runMillis(job.spec(), JobDemand.RUN_QUANTILE)
            .orElse(job.spec().declaredRunMillis());
  }
}
