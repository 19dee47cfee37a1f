package org.persimmonloom.core.maintenance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostLifecycle;
import org.persimmonloom.core.job.MaintenanceForecast;

/**
 * Estimates when the drain of each host in the open waves starts, from its position in the wave and
 * from the pace of the wave.
 *
 * <p>The remaining part of each wave is simulated in rounds, as in {@link MaintenancePlan}.
 * Unplanned losses, pauses and other waves are ignored; they only delay a drain, so the estimate
 * tends to be early. A host that no budget allows to drain has no estimate. Immutable; times are
 * milliseconds of fold time.
 */
public final class DrainForecast implements MaintenanceForecast {
  /**
   * Bounds the cost of a forecast. Hosts of later rounds get the time of the last simulated round,
   * which is about a day ahead for a down time of 10 minutes.
   */
  static final int MAX_ROUNDS = 128;

  private final Map<String, Long> drainMillis;

  private DrainForecast(Map<String, Long> drainMillis) {
    this.drainMillis = drainMillis;
  }

  /** Computes the forecast at {@code nowMillis}; the caller holds the lock of the fold. */
  public static DrainForecast of(WaveTable waves, AvailabilityBudgets budgets, long nowMillis) {
    Map<String, Long> drainMillis = new HashMap<>();
    waves.openWaves().forEach(wave -> addWave(wave, waves, budgets, nowMillis, drainMillis));
    return new DrainForecast(drainMillis);
  }

  private static void addWave(
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
    List<Host> inProgress = waves.inProgressHosts(wave);
    List<Host> pending = waves.pendingHosts(wave);
    List<List<Host>> rounds =
        MaintenancePlan.rounds(
            inProgress, pending, ignoringLosses(budgets), wave.request().maxAtOnce(), MAX_ROUNDS);
    long startMillis = Math.max(nowMillis, wave.request().windowStartMillis());
    // The round in progress ends when the first of its hosts is back, which may be less than a step
    // away.
    long secondRoundMillis =
        inProgress.isEmpty()
            ? startMillis + stepMillis
            : earliestEndMillis(inProgress, startMillis);
    for (int round = 0; round < rounds.size(); round++) {
      long roundMillis = round == 0 ? startMillis : secondRoundMillis + (round - 1) * stepMillis;
      // Hosts that return early can bring any later host forward, so cap the time at the last drain
      // that the window allows.
      long hostDrainMillis = Math.min(roundMillis, latestMillis);
      rounds.get(round).forEach(host -> drainMillis.put(host.name(), hostDrainMillis));
    }
    inProgress.forEach(host -> drainMillis.remove(host.name()));
  }

  private static MaintenancePlan.Budgets ignoringLosses(AvailabilityBudgets budgets) {
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

  private static long earliestEndMillis(List<Host> inProgress, long startMillis) {
    long earliest = Long.MAX_VALUE;
    for (Host host : inProgress) {
      earliest = Math.min(earliest, host.stateMillis() + remainingMillis(host));
    }
    return Math.max(startMillis, earliest);
  }

  /** Returns the expected time from the host's last state change to the end of its probation. */
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
