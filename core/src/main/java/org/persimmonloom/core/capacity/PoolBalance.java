package org.persimmonloom.core.capacity;

import java.util.Locale;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * The projected hosts of a pool and the hosts that its demand requires.
 *
 * <p>The projection counts every host that will serve the pool when the moves and the maintenance
 * in progress have ended: hosts that are moving in count, hosts that are moving out don't, hosts
 * that are down for maintenance return. A lost host counts for as long as a move takes, because
 * most lost hosts come back sooner than a replacement would arrive.
 *
 * @param projectedHosts hosts that will serve the pool
 * @param requiredHosts hosts that cover the trend and a share of the burst; not rounded. Workers
 *     run long work, which may wait, so only a small share of the burst is covered for them
 * @param surplusLevel number of hosts above which the pool has a surplus; not rounded
 * @param error standard error of {@code requiredHosts}
 * @param isDemandKnown whether the reports are recent and complete enough to act on
 * @param demandText figures of the demand, for the reason of a decision
 */
record PoolBalance(
    PoolView pool,
    double projectedHosts,
    double requiredHosts,
    double surplusLevel,
    double error,
    boolean isDemandKnown,
    String demandText) {
  private static final double WORKER_BURST_COVERAGE = 0.1;

  static PoolBalance of(
      PoolView pool,
      CapacityView view,
      CapacityLimits limits,
      CapacitySettings settings,
      long nowMillis) {
    long staying =
        pool.hosts().stream()
            .filter(host -> !host.isMovingOut() && isProjected(host, settings, nowMillis))
            .count();
    DemandForecast demand = pool.demand();
    double burstCoverage =
        pool.kind() == HostKind.WORKER
            ? Math.min(WORKER_BURST_COVERAGE, limits.burstCoverage())
            : limits.burstCoverage();
    double requiredSlots = demand.trend() + burstCoverage * demand.burst();
    double surplusSlots = demand.trend() + limits.surplusCoverage() * demand.burst();
    boolean isDemandKnown =
        demand.lagMillis() <= settings.maxLagMillis()
            && demand.coverage() >= settings.minCoverage();
    double burstFactor = demand.trend() > 0 ? requiredSlots / demand.trend() : 1;
    return new PoolBalance(
        pool,
        staying + view.movingIn(pool.name()),
        requiredSlots / pool.slotsPerHost(),
        surplusSlots / pool.slotsPerHost(),
        demand.error() * burstFactor / pool.slotsPerHost(),
        isDemandKnown,
        demandText(demand, burstCoverage, isDemandKnown));
  }

  private static boolean isProjected(HostView host, CapacitySettings settings, long nowMillis) {
    return host.state() != HostState.LOST || nowMillis - host.stateMillis() < settings.moveMillis();
  }

  private static String demandText(
      DemandForecast demand, double burstCoverage, boolean isDemandKnown) {
    if (!isDemandKnown) {
      return String.format(
          Locale.ROOT,
          "reports cover %.0f %% of the window, the last is %d s old: too few to act on",
          100 * demand.coverage(),
          demand.lagMillis() / 1000);
    }
    return String.format(
        Locale.ROOT,
        "trend %.1f slots (%+.1f per minute), peak %.1f, own slots cover %.0f %% of the burst",
        demand.trend(),
        demand.slopePerMinute(),
        demand.peak(),
        100 * burstCoverage);
  }

  /** Returns the number of hosts that the pool lacks; negative if it has more than it needs. */
  double shortfall() {
    return requiredHosts - projectedHosts;
  }

  /** Returns the shortfall less the standard error of the need. */
  double shortfallBeyondError() {
    return shortfall() - error;
  }

  /** Returns the hosts above the surplus level, less the standard error of the need. */
  double surplusBeyondError() {
    return projectedHosts - surplusLevel - error;
  }
}
