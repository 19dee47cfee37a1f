package org.persimmonloom.core.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostLifecycle;
import org.persimmonloom.core.job.MaintenanceOutlook;

/**
 * Estimates when each host of the open waves is drained, from its place in the order of its wave
 * and the pace that the wave can keep.
 *
 * <p>The rest of each wave is played in rounds, as {@link MaintenancePlan} does. Unplanned losses,
 * pauses and other waves are left out; they only delay a drain, so the estimate errs on the early
 * side. A host that no budget lets go has no estimate. Immutable; times are milliseconds of fold
 * time.
 */
public final class DrainForecast implements MaintenanceOutlook {
  /**
   * Bounds the cost of a forecast. Hosts that come later in a wave get the time of the last round
   * played; with a down time of 10 minutes, that is a day ahead.
   */
  static final int MAX_ROUNDS = 128;

  private final Map<String, Long> drainMillis;

  private DrainForecast(Map<String, Long> drainMillis) {
    this.drainMillis = drainMillis;
  }

  /** Returns the forecast at a moment; call it under the lock of the fold. */
  public static DrainForecast of(WaveTable waves, AvailabilityBudgets budgets, long nowMillis) {
    Map<String, Long> drainMillis = new HashMap<>();
    waves.openWaves().forEach(wave -> add(wave, waves, budgets, nowMillis, drainMillis));
    return new DrainForecast(drainMillis);
  }

  private static void add(
      Wave wave,
      WaveTable waves,
      AvailabilityBudgets budgets,
      long nowMillis,
      Map<String, Long> drainMillis) {
    long stepMillis = MaintenancePlan.stepMillis(wave.request().expectedDownMillis());
    long latestMillis = wave.request().windowEndMillis() - stepMillis;
    if (latestMillis < nowMillis) {
      return;
    }
    List<Host> busy = waves.inProgressHosts(wave);
    List<Host> pending = waves.pendingHosts(wave);
    List<List<Host>> rounds =
        MaintenancePlan.rounds(
            busy, pending, withoutLosses(budgets), wave.request().maxAtOnce(), MAX_ROUNDS);
    long startMillis = Math.max(nowMillis, wave.request().windowStartMillis());
    // The round in progress ends when the first of its hosts is back, not a step from now.
    long nextMillis = busy.isEmpty() ? startMillis + stepMillis : firstEnd(busy, startMillis);
    for (int round = 0; round < rounds.size(); round++) {
      long roundMillis = round == 0 ? startMillis : nextMillis + (round - 1) * stepMillis;
      // Hosts that are back early may bring any later host forward into the window.
      long dueMillis = Math.min(roundMillis, latestMillis);
      rounds.get(round).forEach(host -> drainMillis.put(host.name(), dueMillis));
    }
    busy.forEach(host -> drainMillis.remove(host.name()));
  }

  private static MaintenancePlan.Budgets withoutLosses(AvailabilityBudgets budgets) {
    return new MaintenancePlan.Budgets() {
      @Override
      public List<BudgetGroup> groupsOf(Host host) {
        return budgets.groupsOf(host);
      }

      @Override
      public int unplanned(BudgetGroup group) {
        return 0;
      }
    };
  }

  private static long firstEnd(List<Host> busy, long startMillis) {
    long first = Long.MAX_VALUE;
    for (Host host : busy) {
      first = Math.min(first, host.stateMillis() + remainingMillis(host));
    }
    return Math.max(startMillis, first);
  }

  /** Returns the time from the host's last change of state to the end of its probation. */
  private static long remainingMillis(Host host) {
    if (host.drain() == null) {
      return 0;
    }
    long downMillis = host.drain().expectedDownMillis();
    return switch (host.state()) {
      case DRAINING -> MaintenancePlan.stepMillis(downMillis);
      case DRAINED, DOWN -> downMillis + HostLifecycle.probationMillis(host);
      case RETURNED -> HostLifecycle.probationMillis(host);
      default -> 0;
    };
  }

  @Override
  public OptionalLong nextDrainMillis(String host) {
    Long millis = drainMillis.get(host);
    return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
  }
}
