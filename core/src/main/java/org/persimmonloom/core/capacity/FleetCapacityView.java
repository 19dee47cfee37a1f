package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.job.WorkerRecord;
import org.persimmonloom.core.maintenance.BudgetUse;
import org.persimmonloom.core.maintenance.Wave;
import org.persimmonloom.core.maintenance.WaveStatus;
import org.persimmonloom.core.release.BudgetDefinition.Domain;
import org.persimmonloom.core.release.PoolDefinition;

/**
 * Converts a fleet state to the input of the planner.
 *
 * <p>Unplanned losses (hosts that the platform takes away and quarantined workers) count as {@link
 * HostState#LOST}, as in the budgets. Hosts that are missing from the host list after a mass event
 * keep their state, because the list may be wrong; the view is then marked as a mass event, during
 * which no host moves. Pure; must be called where the fleet state may be read.
 */
public final class FleetCapacityView {
  /** Forecast of a pool that no service uses: its demand is zero without any report. */
  private static final DemandForecast NO_DEMAND = new DemandForecast(0, 0, 0, 0, 1, 0);

  private FleetCapacityView() {}

  /**
   * Returns the view at the last folded offset.
   *
   * @param demands forecast by pool; the demand of a pool without one is unknown
   * @param recentMoves moves started within the last hour
   * @param nowMillis current time, in milliseconds
   */
  public static CapacityView of(
      FleetState fleet,
      Map<String, DemandForecast> demands,
      List<RecentMove> recentMoves,
      long nowMillis) {
    List<PoolView> pools =
        fleet.releases().pools().values().stream()
            .map(pool -> pool(fleet, pool, demands, nowMillis))
            .toList();
    return new CapacityView(
        fleet.nextOffset() - 1,
        fleet.releases().weights(),
        pools,
        recentMoves,
        fleet.hosts().all().stream().anyMatch(Host::isUnlisted));
  }

  private static PoolView pool(
      FleetState fleet, PoolDefinition pool, Map<String, DemandForecast> demands, long nowMillis) {
    List<Host> members = fleet.hosts().inPool(pool.name());
    DemandForecast demand =
        PoolSlots.services(fleet, pool).isEmpty()
            ? NO_DEMAND
            : demands.getOrDefault(pool.name(), DemandForecast.UNKNOWN);
    return new PoolView(
        pool.name(),
        pool.holdsWorkers() ? HostKind.WORKER : HostKind.EXECUTOR,
        pool.isSpare(),
        PoolSlots.perHost(fleet, pool),
        members.stream().anyMatch(host -> isInWave(fleet, host, nowMillis)),
        members.stream().map(host -> host(fleet, host, nowMillis)).toList(),
        budgets(fleet, pool.name()),
        demand);
  }

  private static HostView host(FleetState fleet, Host host, long nowMillis) {
    return new HostView(
        host.name(),
        qualifiedRack(host.facts().dataCentre(), host.facts().rack()),
        host.facts().dataCentre(),
        isLost(fleet, host) ? HostState.LOST : host.state(),
        host.isMoving() ? host.drain().owner() : "",
        awaitsMaintenance(fleet, host, nowMillis),
        host.stateMillis(),
        (int) fleet.jobs().usedByWorker(host.name()).cores());
  }

  private static boolean isLost(FleetState fleet, Host host) {
    boolean isQuarantined =
        !host.isUnavailable()
            && fleet.jobs().worker(host.name()).map(WorkerRecord::isQuarantined).orElse(false);
    return isQuarantined || (host.state().isUnavailable() && host.isUnplannedLoss());
  }

  /** Returns the open wave of a host; empty before the start of the window of the wave. */
  private static Optional<Wave> runningWave(FleetState fleet, Host host, long nowMillis) {
    return fleet
        .waves()
        .openWaveOf(host.name())
        .filter(wave -> wave.status() != WaveStatus.SCHEDULED)
        .filter(wave -> wave.request().windowStartMillis() <= nowMillis);
  }

  private static boolean isInWave(FleetState fleet, Host host, long nowMillis) {
    boolean isDrainedForWave = host.drain() != null && host.drain().cause() == Drain.Cause.WAVE;
    return isDrainedForWave || runningWave(fleet, host, nowMillis).isPresent();
  }

  private static boolean awaitsMaintenance(FleetState fleet, Host host, long nowMillis) {
    return runningWave(fleet, host, nowMillis)
        .map(wave -> wave.progress().get(host.name()).step() == Wave.Step.PENDING)
        .orElse(false);
  }

  /** Rack names are unique only within a data centre. */
  private static String qualifiedRack(String dataCentre, String rack) {
    return dataCentre + "/" + rack;
  }

  private static List<DomainBudget> budgets(FleetState fleet, String pool) {
    return fleet.budgets().usesOf(pool).stream().map(FleetCapacityView::budget).distinct().toList();
  }

  private static DomainBudget budget(BudgetUse use) {
    int limit = use.group().maxUnavailable();
    int used = use.holders().size();
    if (!use.group().rack().isEmpty()) {
      String rack = qualifiedRack(use.group().dataCentre(), use.group().rack());
      return new DomainBudget(Domain.RACK, rack, limit, used);
    }
    if (!use.group().dataCentre().isEmpty()) {
      return new DomainBudget(Domain.DATA_CENTRE, use.group().dataCentre(), limit, used);
    }
    return new DomainBudget(Domain.POOL, use.group().pool(), limit, used);
  }
}
