package org.persimmonloom.core.capacity;

import java.util.Locale;
import org.persimmonloom.core.host.HostState;

/**
 * Decides how many hosts of a pool a maintenance wave may have down at once.
 *
 * <p>The wave shares the budget with unplanned losses and moves. It gets the smaller of
 *
 * <ol>
 *   <li>the budget, less the places held by losses and moves, less a reserve for losses to come;
 *   <li>the hosts above the need, plus an overdraft that grows with the weight of the roll-out time
 *       against that of short work.
 * </ol>
 *
 * <p>A wave that finds no host above the need still gets one place, otherwise a pool with a lasting
 * shortfall would never be maintained. When losses hold the whole budget the pace is 0. The reserve
 * applies to pools whose budget allows at least two hosts. Pure; safe for any thread.
 */
public final class RolloutPace {
  private RolloutPace() {}

  static PaceDecision decide(PoolBalance balance, CapacityLimits limits) {
    PoolView pool = balance.pool();
    int lost = pool.count(HostState.LOST);
    int leaving = (int) pool.hosts().stream().filter(HostView::isLeaving).count();
    int limit = pool.poolLimit();
    int reserve = limit > 1 && lost == 0 ? limits.unplannedReserve() : 0;
    int byBudget = Math.max(0, limit - lost - leaving - reserve);
    int above = (int) Math.floor(balance.toCome() - lost - balance.needed());
    int byNeed = Math.max(1, above + limits.waveOverdraft());
    int maxDown = Math.min(byBudget, balance.isKnown() ? byNeed : 1);
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
            limits.waveOverdraft(),
            byNeed,
            balance.isKnown() ? "" : "; one at a time while the demand is unknown"));
  }
}
