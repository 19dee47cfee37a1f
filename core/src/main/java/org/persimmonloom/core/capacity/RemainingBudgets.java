package org.persimmonloom.core.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.host.HostState;

/**
 * Tracks the room left in the availability budgets while a plan is made. A move uses one unit of
 * each budget of the old pool from the start of the drain, and one unit of each budget of the new
 * pool when the host joins it in probation. Moves already in progress are deducted from the budgets
 * of their target pool at construction. Confined to one thread.
 */
final class RemainingBudgets {
  private final Map<String, Map<DomainBudget, Integer>> roomByPool = new HashMap<>();
  private final Map<String, List<DomainBudget>> budgetsByPool = new HashMap<>();

  RemainingBudgets(List<PoolView> pools) {
    for (PoolView pool : pools) {
      Map<DomainBudget, Integer> roomByBudget = new HashMap<>();
      pool.budgets().forEach(budget -> roomByBudget.put(budget, budget.room()));
      roomByPool.put(pool.name(), roomByBudget);
      budgetsByPool.put(pool.name(), pool.budgets());
    }
    for (PoolView pool : pools) {
      pool.hosts().stream()
          .filter(HostView::isMovingOut)
          .filter(host -> budgetsByPool.containsKey(host.targetPool()))
          .forEach(host -> reserve(host.targetPool(), host));
    }
  }

  /**
   * Returns how many more hosts in the rack and data centre of {@code host} may become unavailable
   * in the pool.
   */
  int room(String pool, HostView host) {
    return budgetsByPool.get(pool).stream()
        .filter(budget -> budget.covers(host.rack(), host.dataCentre()))
        .mapToInt(budget -> roomByPool.get(pool).get(budget))
        .min()
        .orElse(Integer.MAX_VALUE);
  }

  /** Returns whether the budgets of both pools have room for this move. */
  boolean allows(HostView host, String fromPool, String toPool) {
    boolean isDrainAllowed = host.state() != HostState.AVAILABLE || room(fromPool, host) > 0;
    return isDrainAllowed && room(toPool, host) > 0;
  }

  void reserveMove(HostView host, String fromPool, String toPool) {
    reserve(fromPool, host);
    reserve(toPool, host);
  }

  private void reserve(String pool, HostView host) {
    budgetsByPool.get(pool).stream()
        .filter(budget -> budget.covers(host.rack(), host.dataCentre()))
        .forEach(budget -> roomByPool.get(pool).merge(budget, -1, Integer::sum));
  }
}
