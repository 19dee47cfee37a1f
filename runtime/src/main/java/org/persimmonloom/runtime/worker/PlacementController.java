package org.persimmonloom.runtime.worker;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.job.JobPlacer;
import org.persimmonloom.core.job.JobPlan;
import org.persimmonloom.core.job.MaintenanceForecastSource;
import org.persimmonloom.core.job.PlanningState;
import org.persimmonloom.core.job.QuarantinePlanner;
import org.persimmonloom.core.job.RendezvousRanking;
import org.persimmonloom.core.job.WorkerQuarantined;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * Runs job placement planning on this entry host. The entry host of rank 0 plans; hosts of higher
 * rank plan after a longer delay, which is shorter for urgent jobs. Concurrent plans of two hosts
 * are harmless, because the fold rejects stale placements. Confined to the job controller's thread,
 * except for {@link #waitingReasons}, which is thread-safe.
 */
@Singleton
public final class PlacementController {
  /** Planning interval without urgent jobs; keeps planning below 3 % of a core. */
  private static final long PLAN_INTERVAL_MILLIS = 2_000;

  /**
   * Until this age, an urgent job triggers planning in every tick. An older urgent job is waiting
   * for quota or its preemptions are rejected, so that the normal interval is sufficient.
   */
  private static final long URGENT_PLANNING_MAX_AGE_MILLIS = 10_000;

  /**
   * Planning interval per rank for hosts other than the first. Jobs that are not urgent can wait
   * until membership detects that the first host failed.
   */
  private static final long RANK_PLAN_INTERVAL_MILLIS = 10_000;

  /** A rejected quarantine is repeated only after its failure figures can have changed. */
  private static final long QUARANTINE_REPEAT_MILLIS = 60_000;

  private final ReplicatedState state;
  private final JobProposalBatcher outbox;
  private final MaintenanceForecastSource outlooks;
  private final Gauge planSeconds;
  private final Map<String, Long> quarantineProposedMillis = new HashMap<>();
  private volatile boolean hasUndecidedPlan;
  private volatile SortedMap<String, String> waitingReasons = new TreeMap<>();
  private long lastPlanMillis;

  @Inject
  PlacementController(
      ReplicatedState state,
      JobProposalBatcher outbox,
      MaintenanceForecastSource outlooks,
      PrometheusRegistry metrics) {
    this.state = state;
    this.outbox = outbox;
    this.outlooks = outlooks;
    this.planSeconds =
        Gauge.builder()
            .name("persimmonloom_job_plan_seconds")
            .help("Duration of the last planning run")
            .register(metrics);
  }

  /** Returns, by job name, why the last plan of this entry host did not place a queued job. */
  public SortedMap<String, String> waitingReasons() {
    return waitingReasons;
  }

  void planIfDue(int rank, long nowMillis) {
    if (hasUndecidedPlan || !shouldPlan(rank, nowMillis)) {
      return;
    }
    lastPlanMillis = nowMillis;
    long startNanos = System.nanoTime();
    PlanningState planning =
        state.read(fleet -> PlanningState.of(fleet, outlooks.forecast(fleet, nowMillis)));
    JobPlan plan = JobPlacer.plan(planning, nowMillis);
    waitingReasons = plan.waiting();
    List<Proposal> proposals = new ArrayList<>(plan.proposals());
    proposals.addAll(newQuarantines(nowMillis));
    planSeconds.set((System.nanoTime() - startNanos) / 1e9);
    if (!proposals.isEmpty()) {
      hasUndecidedPlan = true;
      outbox.propose(proposals, () -> hasUndecidedPlan = false);
    }
  }

  private boolean shouldPlan(int rank, long nowMillis) {
    boolean isUrgent =
        state.read(fleet -> WorkerVisitSchedule.urgentWaitMillis(fleet, nowMillis)).stream()
            .anyMatch(
                waitMillis ->
                    waitMillis <= URGENT_PLANNING_MAX_AGE_MILLIS
                        && RendezvousRanking.mayAct(rank, waitMillis));
    if (isUrgent) {
      return true;
    }
    boolean hasQueue = state.read(fleet -> !fleet.jobs().queued().isEmpty());
    long intervalMillis = rank == 0 ? PLAN_INTERVAL_MILLIS : rank * RANK_PLAN_INTERVAL_MILLIS;
    return rank >= 0 && hasQueue && nowMillis - lastPlanMillis >= intervalMillis;
  }

  private List<WorkerQuarantined> newQuarantines(long nowMillis) {
    List<WorkerQuarantined> quarantines = new ArrayList<>();
    for (WorkerQuarantined quarantine :
        state.read(fleet -> QuarantinePlanner.plan(fleet.jobs(), fleet.nextOffset()))) {
      Long proposedMillis = quarantineProposedMillis.get(quarantine.worker());
      if (proposedMillis == null || nowMillis - proposedMillis >= QUARANTINE_REPEAT_MILLIS) {
        quarantineProposedMillis.put(quarantine.worker(), nowMillis);
        quarantines.add(quarantine);
      }
    }
    return quarantines;
  }
}
