package org.persimmonloom.core.capacity;

import java.util.List;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.BudgetDefinition.Domain;

/**
 * A pool as the planner sees it.
 *
 * @param isSpare whether moves take hosts from here first; there is at most one per kind
 * @param slotsPerHost pieces of work that one host runs at once
 * @param isInWave whether a maintenance wave takes hosts of this pool down
 * @param hosts hosts of the pool in any state, sorted by name
 * @param budgets every budget that counts hosts of this pool
 * @param demand forecast of the demand of this pool
 */
public record PoolView(
    String name,
    HostKind kind,
    boolean isSpare,
    int slotsPerHost,
    boolean isInWave,
    List<HostView> hosts,
    List<DomainBudget> budgets,
    DemandForecast demand) {
  public PoolView {
    hosts = List.copyOf(hosts);
    budgets = List.copyOf(budgets);
  }

  /** Returns how many hosts are in this state. */
  public int count(HostState state) {
    return (int) hosts.stream().filter(host -> host.state() == state).count();
  }

  /**
   * Returns the lowest limit of the budgets on the whole pool; the pool's size if there is none.
   */
  public int poolLimit() {
    return budgets.stream()
        .filter(budget -> budget.domain() == Domain.POOL)
        .mapToInt(DomainBudget::maxUnavailable)
        .min()
        .orElse(hosts.size());
  }
}
