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
 * Chooses at most one move among the pools of one kind of host; see {@link TrendPolicy} for the
 * rules. Used for one round and confined to one thread.
 */
final class KindPlanner {
  /** A pool takes part in no move in the other direction for this many lengths of a move. */
  static final int REVERSAL_MOVES = 4;

  private final CapacityView view;
  private final List<PoolBalance> balances;
  private final CapacityLimits limits;
  private final CapacitySettings settings;
  private final int bufferHosts;
  private final long nowMillis;
  private final RemainingBudgets remainingBudgets;
  private final Map<String, String> outcomes = new TreeMap<>();

  KindPlanner(
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

  /** Returns why a pool was passed over or chosen, for pools where that isn't plain. */
  Map<String, String> outcomes() {
    return outcomes;
  }

  Optional<ProposedMove> plan() {
    Optional<ProposedMove> move = relieveShortfall();
    return move.isPresent() ? move : returnSurplus();
  }

  private Optional<ProposedMove> relieveShortfall() {
    List<PoolBalance> targets =
        balances.stream()
            .filter(each -> !each.pool().isSpare() && each.isKnown())
            .filter(each -> each.certainShortfall() > limits.shortfallThreshold())
            .sorted(
                Comparator.comparingDouble(PoolBalance::gap)
                    .reversed()
                    .thenComparing(each -> each.pool().name()))
            .toList();
    for (PoolBalance target : targets) {
      Optional<ProposedMove> move = blocked(target).isPresent() ? Optional.empty() : fill(target);
      if (move.isPresent()) {
        return move;
      }
    }
    return Optional.empty();
  }

  private Optional<ProposedMove> fill(PoolBalance target) {
    List<PoolBalance> donors = donors(target);
    for (PoolBalance donor : donors) {
      Optional<ProposedMove> move = move(donor, target);
      if (move.isPresent()) {
        return move;
      }
    }
    outcomes.put(
        target.pool().name(),
        donors.isEmpty()
            ? "lacks a host, but no pool has one to give; waits for a surplus elsewhere"
            : "lacks a host, but the budgets of the donors or of this pool have no room");
    return Optional.empty();
  }

  private Optional<ProposedMove> returnSurplus() {
    Optional<PoolBalance> spare =
        balances.stream().filter(each -> each.pool().isSpare() && each.isKnown()).findFirst();
    if (spare.isEmpty()) {
      return Optional.empty();
    }
    return balances.stream()
        .filter(each -> !each.pool().isSpare() && canGive(each))
        .filter(each -> each.certainSurplus() > limits.surplusThreshold())
        .sorted(
            Comparator.comparingDouble(PoolBalance::gap).thenComparing(each -> each.pool().name()))
        .filter(each -> blocked(each).isEmpty())
        .flatMap(each -> move(each, spare.get()).stream())
        .findFirst();
  }

  /** Returns the pools that may give a host to the target: the spare pool first. */
  private List<PoolBalance> donors(PoolBalance target) {
    Stream<PoolBalance> spare =
        balances.stream()
            .filter(each -> each.pool().isSpare() && each.isKnown())
            .filter(each -> each.pool().count(HostState.AVAILABLE) > each.needed() + bufferHosts);
    Stream<PoolBalance> others =
        balances.stream()
            .filter(each -> !each.pool().isSpare() && each != target && canGive(each))
            .filter(each -> each.certainSurplus() > limits.surplusThreshold())
            .sorted(
                Comparator.comparingDouble(PoolBalance::gap)
                    .thenComparing(each -> each.pool().name()));
    return Stream.concat(spare, others).toList();
  }

  private boolean canGive(PoolBalance donor) {
    PoolView pool = donor.pool();
    return donor.isKnown()
        && !pool.isInWave()
        && pool.count(HostState.LOST) == 0
        && pool.count(HostState.AVAILABLE) > pool.poolLimit() + 1
        && !isRecent(RecentDirection.INTO, pool.name());
  }

  /** Returns what keeps every move of this kind, or a move at this pool, from starting. */
  private Optional<String> blocked(PoolBalance balance) {
    String pool = balance.pool().name();
    Optional<String> reason = Optional.empty();
    if (view.isMassEvent()) {
      reason = Optional.of("the host list is doubted, so nothing moves");
    } else if (isTooSoon()) {
      reason =
          Optional.of("waits until " + limits.moveIntervalMillis() + " ms after the last move");
    } else if (balance.gap() > 0 && isRecent(RecentDirection.OUT_OF, pool)) {
      reason = Optional.of("gave a host up a short time ago, so it gets none yet");
    }
    reason.ifPresent(text -> outcomes.put(pool, text));
    return reason;
  }

  private boolean isTooSoon() {
    return view.recentMoves().stream()
        .filter(move -> isOfThisKind(move.toPool()))
        .anyMatch(move -> nowMillis - move.startedMillis() < limits.moveIntervalMillis());
  }

  private boolean isOfThisKind(String pool) {
    return balances.stream().anyMatch(each -> each.pool().name().equals(pool));
  }

  private enum RecentDirection {
    INTO,
    OUT_OF
  }

  private boolean isRecent(RecentDirection direction, String pool) {
    long guard = REVERSAL_MOVES * settings.moveMillis();
    return view.recentMoves().stream()
        .filter(move -> nowMillis - move.startedMillis() < guard)
        .map(move -> direction == RecentDirection.INTO ? move.toPool() : move.fromPool())
        .anyMatch(pool::equals);
  }

  private Optional<ProposedMove> move(PoolBalance donor, PoolBalance target) {
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
            "%s has %.0f hosts to come and needs %.1f, %s has %.0f and ample are %.1f; %s",
            target.pool().name(),
            target.toCome(),
            target.needed(),
            donor.pool().name(),
            donor.toCome(),
            donor.ample(),
            whatWouldStop(donor, target));
    outcomes.put(target.pool().name(), "gets " + host.name() + " from " + donor.pool().name());
    outcomes.put(donor.pool().name(), "gives " + host.name() + " to " + target.pool().name());
    return new ProposedMove(
        host.name(), donor.pool().name(), target.pool().name(), view.offset(), reason);
  }

  private String whatWouldStop(PoolBalance donor, PoolBalance target) {
    if (target.pool().isSpare()) {
      return String.format(
          Locale.ROOT,
          "with ample at %.1f or more it would stay",
          donor.toCome() - donor.error() - limits.surplusThreshold());
    }
    String need =
        String.format(
            Locale.ROOT,
            "at a need of %.1f or less it would stay",
            target.toCome() + target.error() + limits.shortfallThreshold());
    return donor.pool().isSpare()
        ? String.format(
            Locale.ROOT,
            "%s, or with %.1f or fewer available hosts in the spare pool",
            need,
            donor.needed() + bufferHosts)
        : need;
  }
}
