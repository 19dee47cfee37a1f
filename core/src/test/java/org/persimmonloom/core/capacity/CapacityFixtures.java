package org.persimmonloom.core.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.BudgetDefinition.Domain;
import org.persimmonloom.core.release.Weights;

/** Builds views of a small fleet for the tests of this package. */
final class CapacityFixtures {
  static final long MOVE_MILLIS = 60_000;
  static final long WINDOW_MILLIS = 300_000;
  static final CapacitySettings SETTINGS =
      new CapacitySettings(WINDOW_MILLIS, 30_000, 0.7, MOVE_MILLIS);
  static final Weights DEPOT = new Weights(4, 3, 1, 1);
  static final Weights BOT = new Weights(1, 1, 4, 3);
  static final long NOW_MILLIS = 3_600_000;
  private static final long REPORT_INTERVAL_MILLIS = 2_000;

  private CapacityFixtures() {}

  /**
   * Returns the forecast from reports at intervals of two seconds that end {@code lagMillis} ago.
   */
  static DemandForecast forecast(LongToDoubleFunction slots, long nowMillis, long lagMillis) {
    DemandHistory history = new DemandHistory(WINDOW_MILLIS * 2);
    for (long at = nowMillis - WINDOW_MILLIS * 3 / 2;
        at + REPORT_INTERVAL_MILLIS <= nowMillis - lagMillis; ) {
      history.add(
          new DemandSample(at, at + REPORT_INTERVAL_MILLIS, slots.applyAsDouble(at)),
          at + REPORT_INTERVAL_MILLIS);
      at += REPORT_INTERVAL_MILLIS;
    }
    return new DemandForecaster(SETTINGS).forecast(history.samples(), nowMillis);
  }

  /** Returns the demand of one of five queues that peak in turn for six seconds each. */
  static LongToDoubleFunction rotating(int queue, LongToDoubleFunction mean) {
    return at -> mean.applyAsDouble(at) * (at / 6_000 % 5 == queue ? 5 : 0.05);
  }

  static List<HostView> hosts(String pool, int available, HostState otherState, int otherCount) {
    List<HostView> hosts = new ArrayList<>();
    for (int i = 0; i < available + otherCount; i++) {
      HostState state = i < available ? HostState.AVAILABLE : otherState;
      String rack = pool + "-r" + i / 4;
      hosts.add(new HostView(pool + "-" + i, rack, "dc" + i / 4, state, "", false, 0, 0));
    }
    return hosts;
  }

  static PoolView pool(String name, List<HostView> hosts, int poolLimit, DemandForecast demand) {
    return pool(name, hosts, poolLimit, false, demand);
  }

  static PoolView pool(
      String name, List<HostView> hosts, int poolLimit, boolean isInWave, DemandForecast demand) {
    List<DomainBudget> budgets = new ArrayList<>();
    int unavailable = (int) hosts.stream().filter(host -> host.state().isUnavailable()).count();
    budgets.add(new DomainBudget(Domain.POOL, name, poolLimit, unavailable));
    hosts.stream()
        .map(HostView::rack)
        .distinct()
        .forEach(
            rack ->
                budgets.add(
                    new DomainBudget(Domain.RACK, rack, 2, unavailableInRack(hosts, rack))));
    return new PoolView(
        name, HostKind.EXECUTOR, name.equals("spare"), 8, isInWave, hosts, budgets, demand);
  }

  private static int unavailableInRack(List<HostView> hosts, String rack) {
    return (int)
        hosts.stream()
            .filter(host -> host.rack().equals(rack) && host.state().isUnavailable())
            .count();
  }

  static CapacityView view(Weights weights, List<RecentMove> moves, PoolView... pools) {
    return new CapacityView(77, weights, List.of(pools), moves, false);
  }
}
