package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Locale;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * Computes how many hosts of a pool a maintenance wave may have down at once.
 *
 * <p>The wave shares the budget with unplanned losses and moves. It gets the smaller of
 *
 * <ol>
 *   <li>the budget, less the hosts lost or moving out, less a reserve for further losses;
 *   <li>the hosts above the need, plus an overdraft that grows with the weight of roll-out time
 *       relative to that of short wait, plus a share of the hosts that the spare pool has above its
 *       need and the buffer, whose slots are lent while the wave runs.
 * </ol>
 *
 * <p>The reserve is waived for a pool of workers, whose long work may wait and whose drains take
 * longest; for a pool whose hosts above its need outnumber its budget, which can absorb a further
 * loss; and for a pool that has more hosts left to maintain than the others, because it determines
 * when the wave ends. It is also waived while the pool has a lost host, and for a budget of one
 * host. Workers may also go two hosts below their need.
 *
 * <p>A wave may take down one host even if no host is above the need, otherwise a pool with a
 * lasting shortfall would never be maintained. When losses use up the budget the pace is 0. Pure;
 * safe for any thread.
 */
public final class RolloutPace {
  private static final int WORKER_OVERDRAFT = 2;

  /** A pool with more pending hosts than this multiple of the average determines the wave's end. */
  private static final double LONGEST_FACTOR = 1.2;

  private RolloutPace() {}

  /** Returns the pace for each pool of one kind of host. */
  static List<PaceDecision> decide(
      List<PoolBalance> balances, CapacityLimits limits, int bufferHosts) {
    long borrowingPools = balances.stream().filter(RolloutPace::borrowsSlots).count();
    int lendableHosts = lendableHosts(balances, bufferHosts);
    double averagePending =
        balances.stream().mapToInt(RolloutPace::pendingHosts).average().orElse(0);
    return balances.stream()
        .map(
            balance -> {
              int lentHosts = borrowsSlots(balance) ? (int) (lendableHosts / borrowingPools) : 0;
              boolean isLongest = pendingHosts(balance) > LONGEST_FACTOR * averagePending;
              return decide(balance, limits, lentHosts, isLongest);
            })
        .toList();
  }

  /** Returns how many hosts the spare pool has above its need and the buffer. */
  static int lendableHosts(List<PoolBalance> balances, int bufferHosts) {
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

  private static boolean borrowsSlots(PoolBalance balance) {
    return balance.pool().isInWave() && !balance.pool().isSpare();
  }

  private static int pendingHosts(PoolBalance balance) {
    return (int) balance.pool().hosts().stream().filter(HostView::awaitsMaintenance).count();
  }

  private static PaceDecision decide(
      PoolBalance balance, CapacityLimits limits, int lentHosts, boolean isLongest) {
    PoolView pool = balance.pool();
    int lost = pool.count(HostState.LOST);
    int movingOut = (int) pool.hosts().stream().filter(HostView::isMovingOut).count();
    int limit = pool.poolLimit();
    int surplus = (int) Math.floor(balance.projectedHosts() - lost - balance.requiredHosts());
    boolean isWorker = pool.kind() == HostKind.WORKER;
    boolean isReserveWaived = isWorker || isLongest || surplus > limit || lost > 0 || limit == 1;
    int reserve = isReserveWaived ? 0 : limits.unplannedReserve();
    int byBudget = Math.max(0, limit - lost - movingOut - reserve);
    int overdraft = limits.waveOverdraft() + (isWorker ? WORKER_OVERDRAFT : 0) + lentHosts;
    int byNeed = Math.max(1, surplus + overdraft);
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
            movingOut,
            reserve,
            byBudget,
            surplus,
            overdraft,
            byNeed,
            balance.isDemandKnown() ? "" : "; one at a time while the demand is unknown"));
  }
}
