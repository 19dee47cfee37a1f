package org.persimmonloom.core.capacity;

import java.util.List;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.BudgetDefinition.Domain;

/**
 * The planner's input for one pool.
 *
 * @param isSpare whether moves take hosts from this pool first; at most one pool of each kind is
 *     spare
 * @param slotsPerHost slots of one host, as {@link PoolSlots} defines them
 * @param isInWave whether a running maintenance wave includes hosts of this pool
 * @param hosts hosts of the pool in any state, sorted by name
 * @param budgets every budget that covers hosts of this pool
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
