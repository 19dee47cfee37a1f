package org.persimmonloom.core.capacity;

import java.util.Locale;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * Capacity to come and need of one pool.
 *
 * <p>Capacity to come counts every host that will serve the pool when the moves and maintenance
 * under way have ended: hosts on their way to the pool count, hosts that leave don't, hosts that
 * are down for maintenance return. A lost host counts for as long as a move takes, because most
 * lost hosts come back sooner than a replacement would arrive.
 *
 * @param toCome hosts that will serve the pool
 * @param needed hosts that cover the trend and a share of the burst; not rounded. Workers run long
 *     work, which may wait, so that they cover a small share only
 * @param ample hosts beyond which the pool has too many
 * @param error standard error of {@code needed}
 * @param isKnown whether the reports are recent and complete enough to act on
 */
record PoolBalance(
    PoolView pool,
    double toCome,
    double needed,
    double ample,
    double error,
    boolean isKnown,
    String basis) {
  private static final double WORKER_COVERAGE = 0.1;

  static PoolBalance of(
      PoolView pool,
      CapacityView view,
      CapacityLimits limits,
      CapacitySettings settings,
      long nowMillis) {
    long staying =
        pool.hosts().stream()
            .filter(host -> !host.isMovingOut() && isToCome(host, settings, nowMillis))
            .count();
    DemandForecast demand = pool.demand();
    double coverage =
        pool.kind() == HostKind.WORKER
            ? Math.min(WORKER_COVERAGE, limits.burstCoverage())
            : limits.burstCoverage();
    double slots = demand.trend() + coverage * demand.burst();
    double ample = demand.trend() + limits.ampleCoverage() * demand.burst();
    boolean isKnown =
        demand.lagMillis() <= settings.maxLagMillis()
            && demand.coverage() >= settings.minCoverage();
    double burstFactor = demand.trend() > 0 ? slots / demand.trend() : 1;
    return new PoolBalance(
        pool,
        staying + view.movingIn(pool.name()),
        slots / pool.slotsPerHost(),
        ample / pool.slotsPerHost(),
        demand.error() * burstFactor / pool.slotsPerHost(),
        isKnown,
        basis(demand, coverage, isKnown));
  }

  private static boolean isToCome(HostView host, CapacitySettings settings, long nowMillis) {
    return host.state() != HostState.LOST || nowMillis - host.stateMillis() < settings.moveMillis();
  }

  private static String basis(DemandForecast demand, double coverage, boolean isKnown) {
    if (!isKnown) {
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
        100 * coverage);
  }

  /** Returns the hosts that the pool lacks; negative if it has too many. */
  double gap() {
    return needed - toCome;
  }

  /** Returns the gap after the uncertainty of the trend is taken off in its disfavour. */
  double certainShortfall() {
    return gap() - error;
  }

  /** Returns the hosts too many after the uncertainty of the trend is taken off. */
  double certainSurplus() {
    return toCome - ample - error;
  }
}
