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
 * The state of one pool as a planner or an operator reads it. Immutable.
 *
 * <p>A planner that proposes a move passes the offset of the last folded record at which it read
 * both statuses as {@code basedOnOffset}.
 *
 * @param kind kind of its hosts
 * @param service the service that draws on it; empty if none
 * @param isSpare whether moves take hosts from here first
 * @param hosts number of hosts in any state
 * @param hostsByState number of hosts by state; a state without hosts is absent
 * @param unlisted hosts that vanished from the host list in a mass event, which is no reason to
 *     move others
 * @param movingOut hosts that drain for a move out of this pool
 * @param movingIn hosts of other pools that drain for a move into this one
 * @param budgets the use of each budget; a host may be taken out only if each that counts it has
 *     room
 * @param changedOffset offset of the last change to its hosts; -1 if it never had any
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

  /** Returns the number of hosts that take work. */
  public int available() {
    return hostsByState.getOrDefault(HostState.AVAILABLE, 0);
  }

  /** Returns the least room over all budgets, {@link #hosts} if there is none. */
  public int budgetRoom() {
    return budgets.stream().mapToInt(BudgetUse::room).min().orElse(hosts);
  }

  /** Returns the status of a pool. */
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
