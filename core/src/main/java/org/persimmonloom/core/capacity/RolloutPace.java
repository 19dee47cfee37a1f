package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Locale;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * Decides how many hosts of a pool a maintenance wave may have down at once.
 *
 * <p>The wave shares the budget with unplanned losses and moves. It gets the smaller of
 *
 * <ol>
 *   <li>the budget, less the places held by losses and moves, less a reserve for losses to come;
 *   <li>the hosts above the need, plus an overdraft that grows with the weight of the roll-out time
 *       against that of short work, plus a share of the hosts that the spare pool holds beyond its
 *       need and the buffer, whose slots are lent while the wave runs.
 * </ol>
 *
 * <p>The reserve is waived for a pool of workers, whose long work may wait and whose drains take
 * longest; for a pool with more hosts above its need than its budget has places, where one loss
 * more does no harm; and for a pool that has more hosts left to maintain than the others, because
 * it decides when the wave ends. Workers may also go two hosts below their need.
 *
 * <p>A wave that finds no host above the need still gets one place, otherwise a pool with a lasting
 * shortfall would never be maintained. When losses hold the whole budget the pace is 0. Pure; safe
 * for any thread.
 */
public final class RolloutPace {
  private static final int WORKER_OVERDRAFT = 2;

  /** A pool with this many times the average of hosts left decides when the wave ends. */
  private static final double LONGEST_FACTOR = 1.2;

  private RolloutPace() {}

  /** Returns the pace for each pool of one kind of host. */
  static List<PaceDecision> decide(
      List<PoolBalance> balances, CapacityLimits limits, int bufferHosts) {
    long inWave = balances.stream().filter(RolloutPace::isBacked).count();
    int lendable = lendable(balances, bufferHosts);
    double averageLeft = balances.stream().mapToInt(RolloutPace::left).average().orElse(0);
    return balances.stream()
        .map(
            balance -> {
              int backing = isBacked(balance) ? (int) (lendable / inWave) : 0;
              boolean isLongest = left(balance) > LONGEST_FACTOR * averageLeft;
              return decide(balance, limits, backing, isLongest);
            })
        .toList();
  }

  /** Returns how many hosts the spare pool holds beyond its need and the buffer. */
  static int lendable(List<PoolBalance> balances, int bufferHosts) {
    return balances.stream()
        .filter(each -> each.pool().isSpare())
        .mapToInt(
            each ->
                each.pool().count(HostState.AVAILABLE)
                    - (int) Math.ceil(each.requiredHosts())
                    - bufferHosts)
        .map(hosts -> Math.max(0, hosts))
        .sum();
  }

  private static boolean isBacked(PoolBalance balance) {
    return balance.pool().isInWave() && !balance.pool().isSpare();
  }

  private static int left(PoolBalance balance) {
    return (int) balance.pool().hosts().stream().filter(HostView::awaitsMaintenance).count();
  }

  private static PaceDecision decide(
      PoolBalance balance, CapacityLimits limits, int backing, boolean isLongest) {
    PoolView pool = balance.pool();
    int lost = pool.count(HostState.LOST);
    int leaving = (int) pool.hosts().stream().filter(HostView::isMovingOut).count();
    int limit = pool.poolLimit();
    int above = (int) Math.floor(balance.projectedHosts() - lost - balance.requiredHosts());
    boolean isWorker = pool.kind() == HostKind.WORKER;
    boolean isReserveWaived = isWorker || isLongest || above > limit || lost > 0 || limit == 1;
    int reserve = isReserveWaived ? 0 : limits.unplannedReserve();
    int byBudget = Math.max(0, limit - lost - leaving - reserve);
    int overdraft = limits.waveOverdraft() + (isWorker ? WORKER_OVERDRAFT : 0) + backing;
    int byNeed = Math.max(1, above + overdraft);
    int maxDown = Math.min(byBudget, balance.isDemandKnown() ? byNeed : 1);
    return new PaceDecision(
        pool.name(),
        maxDown,
        String.format(
            Locale.ROOT,
            "budget of %d less %d lost, %d moving, %d in reserve leaves %d; %d hosts above the need "
                + "plus overdraft of %d allow %d%s",
            limit,
            lost,
            leaving,
            reserve,
            byBudget,
            above,
            overdraft,
            byNeed,
            balance.isDemandKnown() ? "" : "; one at a time while the demand is unknown"));
  }
}
