package org.persimmonloom.core.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.persimmonloom.core.host.HostState;

/**
 * Selects at most one move among the pools of one kind of host; {@link TrendPolicy} states the
 * rules. Used for one planning round and confined to one thread.
 */
final class MovePlanner {
  /**
   * Time before a pool takes part in a move in the opposite direction, in multiples of the duration
   * of a move.
   */
  static final int REVERSAL_DELAY_MOVES = 4;

  private final CapacityView view;
  private final List<PoolBalance> balances;
  private final CapacityLimits limits;
  private final CapacitySettings settings;
  private final int bufferHosts;
  private final long nowMillis;
  private final RemainingBudgets remainingBudgets;
  private final Map<String, String> explanations = new TreeMap<>();

  MovePlanner(
      CapacityView view,
      List<PoolBalance> balances,
      CapacityLimits limits,
      CapacitySettings settings,
      int bufferHosts,
      long nowMillis) {
    this.view = view;
    this.balances = balances;
    this.limits = limits;
    this.settings = settings;
    this.bufferHosts = bufferHosts;
    this.nowMillis = nowMillis;
    this.remainingBudgets = new RemainingBudgets(view.pools());
  }

  /** Returns why a pool was selected or skipped, by pool; only pools that were candidates. */
  Map<String, String> explanations() {
    return explanations;
  }

  Optional<ProposedMove> plan() {
    Optional<ProposedMove> move = planShortfallMove();
    return move.isPresent() ? move : planSurplusReturn();
  }

  private Optional<ProposedMove> planShortfallMove() {
    List<PoolBalance> targets =
        balances.stream()
            .filter(each -> !each.pool().isSpare() && each.isDemandKnown())
            .filter(each -> each.shortfallBeyondError() > limits.shortfallThreshold())
            .sorted(
                Comparator.comparingDouble(PoolBalance::shortfall)
                    .reversed()
                    .thenComparing(each -> each.pool().name()))
            .toList();
    for (PoolBalance target : targets) {
      Optional<ProposedMove> move =
          blockReason(target).isPresent() ? Optional.empty() : planMoveTo(target);
      if (move.isPresent()) {
        return move;
      }
    }
    return Optional.empty();
  }

  private Optional<ProposedMove> planMoveTo(PoolBalance target) {
    List<PoolBalance> donors = donors(target);
    for (PoolBalance donor : donors) {
      Optional<ProposedMove> move = selectHost(donor, target);
      if (move.isPresent()) {
        return move;
      }
    }
    explanations.put(
        target.pool().name(),
        donors.isEmpty()
            ? "lacks a host, but no pool has one to give; waits for a surplus in another pool"
            : "lacks a host, but the budgets of the donors or of this pool have no room");
    return Optional.empty();
  }

  private Optional<ProposedMove> planSurplusReturn() {
    Optional<PoolBalance> spare =
        balances.stream().filter(each -> each.pool().isSpare() && each.isDemandKnown()).findFirst();
    if (spare.isEmpty()) {
      return Optional.empty();
    }
    return balances.stream()
        .filter(each -> !each.pool().isSpare() && canDonate(each))
        .filter(each -> each.surplusBeyondError() > limits.surplusThreshold())
        .sorted(
            Comparator.comparingDouble(PoolBalance::shortfall)
                .thenComparing(each -> each.pool().name()))
        .filter(each -> blockReason(each).isEmpty())
        .flatMap(each -> selectHost(each, spare.get()).stream())
        .findFirst();
  }

  /** Returns the pools that may give a host to the target, the spare pool first. */
  private List<PoolBalance> donors(PoolBalance target) {
    Stream<PoolBalance> spare =
        balances.stream()
            .filter(each -> each.pool().isSpare() && each.isDemandKnown())
            .filter(
                each ->
                    each.pool().count(HostState.AVAILABLE) > each.requiredHosts() + bufferHosts);
    Stream<PoolBalance> others =
        balances.stream()
            .filter(each -> !each.pool().isSpare() && each != target && canDonate(each))
            .filter(each -> each.surplusBeyondError() > limits.surplusThreshold())
            .sorted(
                Comparator.comparingDouble(PoolBalance::shortfall)
                    .thenComparing(each -> each.pool().name()));
    return Stream.concat(spare, others).toList();
  }

  private boolean canDonate(PoolBalance donor) {
    PoolView pool = donor.pool();
    return donor.isDemandKnown()
        && !pool.isInWave()
        && pool.count(HostState.LOST) == 0
        && pool.count(HostState.AVAILABLE) > pool.poolLimit() + 1
        && !hasRecentMove(RecentDirection.INTO, pool.name());
  }

  /**
   * Returns why no move of this kind of host, or none of this pool, may start; empty if one may.
   */
  private Optional<String> blockReason(PoolBalance balance) {
    String pool = balance.pool().name();
    Optional<String> reason = Optional.empty();
    if (view.isMassEvent()) {
      reason = Optional.of("the host list is not trusted after a mass event, so no host moves");
    } else if (isWithinMoveInterval()) {
      reason =
          Optional.of("waits until " + limits.moveIntervalMillis() + " ms after the last move");
    } else if (balance.shortfall() > 0 && hasRecentMove(RecentDirection.OUT_OF, pool)) {
      reason = Optional.of("gave up a host recently, so it gets none yet");
    }
    reason.ifPresent(text -> explanations.put(pool, text));
    return reason;
  }

  private boolean isWithinMoveInterval() {
    return view.recentMoves().stream()
        .filter(move -> isOfPlannedKind(move.toPool()))
        .anyMatch(move -> nowMillis - move.startedMillis() < limits.moveIntervalMillis());
  }

  private boolean isOfPlannedKind(String pool) {
    return balances.stream().anyMatch(each -> each.pool().name().equals(pool));
  }

  private enum RecentDirection {
    INTO,
    OUT_OF
  }

  private boolean hasRecentMove(RecentDirection direction, String pool) {
    long reversalDelayMillis = REVERSAL_DELAY_MOVES * settings.moveMillis();
    return view.recentMoves().stream()
        .filter(move -> nowMillis - move.startedMillis() < reversalDelayMillis)
        .map(move -> direction == RecentDirection.INTO ? move.toPool() : move.fromPool())
        .anyMatch(pool::equals);
  }

  private Optional<ProposedMove> selectHost(PoolBalance donor, PoolBalance target) {
    String from = donor.pool().name();
    String to = target.pool().name();
    return donor.pool().hosts().stream()
        .filter(host -> host.state() == HostState.AVAILABLE && !host.isMovingOut())
        .filter(host -> remainingBudgets.allows(host, from, to))
        .min(
            Comparator.comparing(HostView::awaitsMaintenance)
                .thenComparing(host -> -remainingBudgets.room(to, host))
                .thenComparing(HostView::busySlots)
                .thenComparing(HostView::name))
        .map(host -> propose(host, donor, target));
  }

  private ProposedMove propose(HostView host, PoolBalance donor, PoolBalance target) {
    remainingBudgets.reserveMove(host, donor.pool().name(), target.pool().name());
    String reason =
        String.format(
            Locale.ROOT,
            "%s has %.0f hosts projected and needs %.1f, %s has %.0f and a surplus above %.1f; %s",
            target.pool().name(),
            target.projectedHosts(),
            target.requiredHosts(),
            donor.pool().name(),
            donor.projectedHosts(),
            donor.surplusLevel(),
            reversalCondition(donor, target));
    explanations.put(target.pool().name(), "gets " + host.name() + " from " + donor.pool().name());
    explanations.put(donor.pool().name(), "gives " + host.name() + " to " + target.pool().name());
    return new ProposedMove(
        host.name(), donor.pool().name(), target.pool().name(), view.offset(), reason);
  }

  private String reversalCondition(PoolBalance donor, PoolBalance target) {
    if (target.pool().isSpare()) {
      return String.format(
          Locale.ROOT,
          "with a surplus level of %.1f or more it would stay",
          donor.projectedHosts() - donor.error() - limits.surplusThreshold());
    }
    String need =
        String.format(
            Locale.ROOT,
            "at a need of %.1f or less it would stay",
            target.projectedHosts() + target.error() + limits.shortfallThreshold());
    return donor.pool().isSpare()
        ? String.format(
            Locale.ROOT,
            "%s, or with %.1f or fewer available hosts in the spare pool",
            need,
            donor.requiredHosts() + bufferHosts)
        : need;
  }
}
