package org.persimmonloom.core.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * Moves hosts between pools according to the trend of demand.
 *
 * <p>For each pool the projected hosts are compared with the hosts required at the end of a move
 * that starts now ({@link PoolBalance}). A pool whose shortfall exceeds the threshold by more than
 * the standard error of its need receives one host: from the spare pool while that has more than
 * its own need and the buffer, otherwise from the pool with the largest surplus. With no pool short
 * of hosts, a pool with a surplus returns one host to the spare pool, where it can run long work or
 * be lent.
 *
 * <p>The following rules limit the number of moves: the thresholds for shortfall and surplus are
 * apart (hysteresis); moves of one kind of host are at least an interval apart; a pool other than
 * the spare pool that took part in a move does not take part in one in the opposite direction for
 * {@value MovePlanner#REVERSAL_DELAY_MOVES} times the duration of a move; a pool in a wave gives up
 * no host, because the wave already uses its budget; no move starts during a mass event in the host
 * list or while the reports of either pool are old or incomplete.
 *
 * <p>At most one move per kind of host is proposed in a round. The fold refuses it if the state
 * changed after the view's offset, so moves planned by two entry hosts at the same time don't add
 * up. The planner has no state; equal views give equal plans. Safe for any thread.
 */
public final class TrendPolicy implements CapacityPolicy {
  private final CapacitySettings settings;

  /** Creates a policy with these settings. */
  public TrendPolicy(CapacitySettings settings) {
    this.settings = settings;
  }

  @Override
  public CapacityPlan plan(CapacityView view, long nowMillis) {
    CapacityLimits limits = CapacityLimits.from(view.weights(), settings.moveMillis());
    List<PoolBalance> balances =
        view.pools().stream()
            .map(pool -> PoolBalance.of(pool, view, limits, settings, nowMillis))
            .toList();
    Map<String, PaceDecision> paces = new TreeMap<>();
    Map<HostKind, Integer> buffers = new EnumMap<>(HostKind.class);
    List<ProposedMove> moves = new ArrayList<>();
    Map<String, String> explanations = new TreeMap<>();
    for (HostKind kind : HostKind.values()) {
      List<PoolBalance> balancesOfKind =
          balances.stream().filter(each -> each.pool().kind() == kind).toList();
      int hosts = balancesOfKind.stream().mapToInt(each -> each.pool().hosts().size()).sum();
      int buffer = limits.bufferHosts(kind, hosts);
      buffers.put(kind, buffer + lentHosts(balancesOfKind, buffer));
      RolloutPace.decide(balancesOfKind, limits, buffer)
          .forEach(each -> paces.put(each.pool(), each));
      MovePlanner planner =
          new MovePlanner(view, balancesOfKind, limits, settings, buffer, nowMillis);
      planner.plan().ifPresent(moves::add);
      explanations.putAll(planner.explanations());
    }
    List<PoolDecision> poolDecisions =
        balances.stream().map(each -> poolDecision(each, explanations, limits)).toList();
    return new CapacityPlan(view.offset(), moves, buffers, paces, poolDecisions);
  }

  /**
   * Returns how many hosts are added to the buffer while a wave has hosts of other pools down: one
   * for each unavailable executor of those pools, up to the number that the spare pool can lend.
   * Workers get none, because their long work may wait.
   */
  private static int lentHosts(List<PoolBalance> balances, int buffer) {
    int down =
        balances.stream()
            .map(PoolBalance::pool)
            .filter(pool -> pool.isInWave() && !pool.isSpare() && pool.kind() == HostKind.EXECUTOR)
            .mapToInt(pool -> pool.hosts().size() - pool.count(HostState.AVAILABLE))
            .sum();
    return Math.min(down, RolloutPace.lendableHosts(balances, buffer));
  }

  private static PoolDecision poolDecision(
      PoolBalance balance, Map<String, String> explanations, CapacityLimits limits) {
    String figures =
        String.format(
            Locale.ROOT,
            "%s; needs %.1f hosts (error %.1f), %.0f projected; %s",
            balance.demandText(),
            balance.requiredHosts(),
            balance.error(),
            balance.projectedHosts(),
            explanations.getOrDefault(balance.pool().name(), unchangedText(balance, limits)));
    return new PoolDecision(
        balance.pool().name(), balance.projectedHosts(), balance.requiredHosts(), figures);
  }

  private static String unchangedText(PoolBalance balance, CapacityLimits limits) {
    double giveAt = balance.projectedHosts() - balance.error() - limits.surplusThreshold();
    String give =
        giveAt > 0
            ? String.format(Locale.ROOT, "give one up with a surplus level of %.1f", giveAt)
            : "give none up";
    return String.format(
        Locale.ROOT,
        "stays; it would get a host at a need of %.1f and %s (the surplus level is now %.1f)",
        balance.projectedHosts() + balance.error() + limits.shortfallThreshold(),
        give,
        balance.surplusLevel());
  }
}
