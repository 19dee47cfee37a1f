package org.persimmonloom.core.maintenance;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.release.PoolDefinition;

/**
 * The state of one pool, for planners and operators. Immutable.
 *
 * <p>When a planner proposes a move, its {@code basedOnOffset} is the offset of the last record
 * that was folded when it read the statuses of both pools.
 *
 * @param kind kind of the hosts in the pool
 * @param service service that uses the pool; empty if none
 * @param isSpare whether moves take hosts from this pool first
 * @param hosts number of hosts in any state
 * @param hostsByState number of hosts by state; a state without hosts is absent
 * @param unlisted hosts missing from the host list after a mass event; they are no reason to move
 *     other hosts
 * @param movingOut hosts draining for a move out of this pool
 * @param movingIn hosts of other pools draining for a move into this one
 * @param budgets use of each budget that covers the pool; a host may be taken out of service only
 *     if every budget that counts it has room
 * @param changedOffset offset of the last change to the hosts of the pool; -1 if it has never had
 *     any
 */
public record PoolStatus(
    String pool,
    HostKind kind,
    String service,
    boolean isSpare,
    int hosts,
    SortedMap<HostState, Integer> hostsByState,
    int unlisted,
    int movingOut,
    int movingIn,
    List<BudgetUse> budgets,
    long changedOffset) {
  public PoolStatus {
    hostsByState = Collections.unmodifiableSortedMap(new TreeMap<>(hostsByState));
    budgets = List.copyOf(budgets);
  }

  /** Returns the number of hosts that accept work. */
  public int available() {
    return hostsByState.getOrDefault(HostState.AVAILABLE, 0);
  }

  /** Returns the smallest room of any budget; {@link #hosts} if there is no budget. */
  public int budgetRoom() {
    return budgets.stream().mapToInt(BudgetUse::room).min().orElse(hosts);
  }

  /** Computes the status of a pool. */
  public static PoolStatus of(PoolDefinition pool, HostTable hosts, AvailabilityBudgets budgets) {
    SortedMap<HostState, Integer> byState = new TreeMap<>();
    int unlisted = 0;
    int movingOut = 0;
    List<Host> members = hosts.inPool(pool.name());
    for (Host host : members) {
      byState.merge(host.state(), 1, Integer::sum);
      unlisted += host.isUnlisted() ? 1 : 0;
      movingOut += host.isMoving() ? 1 : 0;
    }
    long movingIn =
        hosts.all().stream()
            .filter(host -> host.isMoving() && host.drain().owner().equals(pool.name()))
            .count();
    return new PoolStatus(
        pool.name(),
        pool.holdsWorkers() ? HostKind.WORKER : HostKind.EXECUTOR,
        pool.service(),
        pool.isSpare(),
        members.size(),
        byState,
        unlisted,
        movingOut,
        (int) movingIn,
        budgets.usesOf(pool.name()),
        hosts.poolChangedOffset(pool.name()));
  }
}
