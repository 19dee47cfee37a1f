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
 * Runs the planner of placements on one entry host. One host plans; another takes its turn when
 * urgent work waits or nothing is placed for long. Plans of two hosts do no harm, because the fold
 * refuses what is stale. Confined to the controller's thread, but for {@link #waiting}.
 */
@Singleton
public final class PlacementController {
  /** Without urgent work, planning at most so often keeps it below 3 % of a core. */
  private static final long PLAN_EVERY_MILLIS = 2_000;

  /**
   * Urgent work is planned for at every tick up to this age. Later it waits for its quota or for
   * preemptions that are refused, and the usual pace is enough.
   */
  private static final long URGENT_MILLIS = 10_000;

  /** Other work waits longer for a planner that is gone; membership notices it meanwhile. */
  private static final long RANK_PLAN_EVERY_MILLIS = 10_000;

  /** A refused quarantine is not proposed again before the figures can have changed. */
  private static final long QUARANTINE_EVERY_MILLIS = 60_000;

  private final ReplicatedState state;
  private final JobProposalBatcher outbox;
  private final MaintenanceForecastSource outlooks;
  private final Gauge planSeconds;
  private final Map<String, Long> quarantineProposed = new HashMap<>();
  private volatile boolean isUndecided;
  private volatile SortedMap<String, String> waiting = new TreeMap<>();
  private long plannedMillis;

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

  /** Returns why queued jobs were not placed by the last plan of this host. */
  public SortedMap<String, String> waiting() {
    return waiting;
  }

  void run(int rank, long nowMillis) {
    if (isUndecided || !isTurn(rank, nowMillis)) {
      return;
    }
    plannedMillis = nowMillis;
    long startNanos = System.nanoTime();
    PlanningState planning =
        state.read(fleet -> PlanningState.of(fleet, outlooks.forecast(fleet, nowMillis)));
    JobPlan plan = JobPlacer.plan(planning, nowMillis);
    waiting = plan.waiting();
    List<Proposal> proposals = new ArrayList<>(plan.proposals());
    proposals.addAll(quarantines(nowMillis));
    planSeconds.set((System.nanoTime() - startNanos) / 1e9);
    if (!proposals.isEmpty()) {
      isUndecided = true;
      outbox.propose(proposals, () -> isUndecided = false);
    }
  }

  private boolean isTurn(int rank, long nowMillis) {
    boolean isUrgent =
        state.read(fleet -> WorkerVisitSchedule.urgentWaits(fleet, nowMillis)).stream()
            .anyMatch(it -> it <= URGENT_MILLIS && RendezvousRanking.mayAct(rank, it));
    if (isUrgent) {
      return true;
    }
    boolean hasQueue = state.read(fleet -> !fleet.jobs().queued().isEmpty());
    long everyMillis = rank == 0 ? PLAN_EVERY_MILLIS : rank * RANK_PLAN_EVERY_MILLIS;
    return rank >= 0 && hasQueue && nowMillis - plannedMillis >= everyMillis;
  }

  private List<WorkerQuarantined> quarantines(long nowMillis) {
    List<WorkerQuarantined> fresh = new ArrayList<>();
    for (WorkerQuarantined it :
        state.read(fleet -> QuarantinePlanner.plan(fleet.jobs(), fleet.nextOffset()))) {
      Long last = quarantineProposed.get(it.worker());
      if (last == null || nowMillis - last >= QUARANTINE_EVERY_MILLIS) {
        quarantineProposed.put(it.worker(), nowMillis);
        fresh.add(it);
      }
    }
    return fresh;
  }
}
