package org.persimmonloom.core.job;

import java.util.List;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.maintenance.MaintenancePlan;
import org.persimmonloom.core.maintenance.MaintenanceSteps;

/**
 * Chooses the attempts that are stopped because their worker is drained: the repeatable ones that
 * are not likely to end within the time that the drain allows, and those still there when it is
 * over. Attempts that are not repeatable run to their end. Pure; times are milliseconds.
 */
public final class DrainEviction {
  private DrainEviction() {}

  /** Returns the evictions that are due at a worker; call it under the lock of the fold. */
  public static List<JobEvicted> evictions(FleetState fleet, String worker, long nowMillis) {
    Host host = fleet.hosts().find(worker).orElse(null);
    if (host == null || host.state() != HostState.DRAINING) {
      return List.of();
    }
    long limitMillis = host.stateMillis() + allowedMillis(host.drain());
    RunTimeEstimates estimates = fleet.jobs().estimates();
    return fleet.jobs().liveAt(worker).stream()
        .filter(JobEvents::isEvictable)
        .filter(
            job -> nowMillis >= limitMillis || likelyEnd(job, estimates, nowMillis) > limitMillis)
        .map(job -> new JobEvicted(job.name(), job.live().number(), host.drain().offset()))
        .toList();
  }

  /** A wave plans with the short time; the platform may take a leaving host at any moment. */
  private static long allowedMillis(Drain drain) {
    return drain.cause() == Drain.Cause.MOVE
        ? MaintenanceSteps.MOVE_DRAIN_LIMIT_MILLIS
        : MaintenancePlan.DRAIN_MILLIS;
  }

  private static long likelyEnd(Job job, RunTimeEstimates estimates, long nowMillis) {
    long startMillis = job.state() == JobState.RUNNING ? job.live().startedMillis() : nowMillis;
    return startMillis
        + estimates
            .runMillis(job.spec(), JobDemand.RUN_QUANTILE)
            .orElse(job.spec().declaredRunMillis());
  }
}
