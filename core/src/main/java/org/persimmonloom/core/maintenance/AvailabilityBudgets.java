package org.persimmonloom.core.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.release.BudgetDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Checks the availability budgets against the current state of the hosts.
 *
 * <p>No counters are kept that could diverge from the host table: each check recounts the use of a
 * budget. Planned, lost, moving and quarantined hosts therefore always count together, and a
 * changed definition or rack takes effect immediately. Confined to the fold thread.
 */
public final class AvailabilityBudgets {
  private final Supplier<SortedMap<String, BudgetDefinition>> definitions;
  private final HostTable hosts;
  private final Predicate<String> isQuarantined;

  /**
   * Creates the checks.
   *
   * @param definitions supplies the budget definitions in force, by name
   * @param hosts hosts whose unavailability is counted
   * @param isQuarantined whether the worker of this name gets no jobs because jobs fail on it
   */
  public AvailabilityBudgets(
      Supplier<SortedMap<String, BudgetDefinition>> definitions,
      HostTable hosts,
      Predicate<String> isQuarantined) {
    this.definitions = definitions;
    this.hosts = hosts;
    this.isQuarantined = isQuarantined;
  }

  private boolean isUnplannedLoss(Host host) {
    return host.isUnplannedLoss() || (!host.isUnavailable() && isQuarantined.test(host.name()));
  }

  /** Returns the groups that count the host, ordered by budget name. */
  public List<BudgetGroup> groupsOf(Host host) {
    List<BudgetGroup> groups = new ArrayList<>();
    for (BudgetDefinition budget : definitions.get().values()) {
      if (covers(budget, host.pool())) {
        groups.add(BudgetGroup.of(budget, host, host.pool()));
      }
    }
    return groups;
  }

  private static boolean covers(BudgetDefinition budget, String pool) {
    return budget.pool().equals(pool) || budget.pool().equals(BudgetDefinition.EVERY_POOL);
  }

  /** Returns the current use of the budget of a group. */
  public BudgetUse use(BudgetGroup group) {
    return use(group, Set.of());
  }

  /**
   * Returns the groups whose budget unplanned losses alone use up, by key. Iterates over the hosts
   * once and evaluates only the groups of lost hosts, because it may run with each batch.
   */
  SortedMap<String, BudgetUse> exhaustedByLosses() {
    SortedMap<String, BudgetGroup> groups = new TreeMap<>();
    for (Host host : hosts.all()) {
      if (isUnplannedLoss(host)) {
        groupsOf(host).forEach(group -> groups.put(group.key(), group));
      }
    }
    SortedMap<String, BudgetUse> exhausted = new TreeMap<>();
    groups.forEach(
        (key, group) -> {
          BudgetUse use = use(group);
          if (use.unplanned().size() >= group.maxUnavailable()) {
            exhausted.put(key, use);
          }
        });
    return exhausted;
  }

  private BudgetUse use(BudgetGroup group, Collection<String> assumedUnavailable) {
    List<String> holders = new ArrayList<>();
    List<String> unplanned = new ArrayList<>();
    for (Host host : hosts.inPool(group.pool())) {
      boolean counts =
          host.isUnavailable() || isUnplannedLoss(host) || assumedUnavailable.contains(host.name());
      if (counts && group.contains(host)) {
        holders.add(host.name());
        if (isUnplannedLoss(host)) {
          unplanned.add(host.name());
        }
      }
    }
    return new BudgetUse(group, holders, unplanned);
  }

  /**
   * Returns why the host must not become or stay unavailable for a planned operation, or empty if
   * every budget that counts it is kept with the host unavailable.
   */
  public Optional<Failure> check(Host host) {
    return check(host, Set.of());
  }

  /** Like {@link #check(Host)}, but also counts hosts that are about to become unavailable. */
  public Optional<Failure> check(Host host, Collection<String> assumedUnavailable) {
    List<String> assumed = new ArrayList<>(assumedUnavailable);
    assumed.add(host.name());
    for (BudgetGroup group : groupsOf(host)) {
      BudgetUse use = use(group, assumed);
      if (use.room() < 0) {
        List<String> others = new ArrayList<>(use.holders());
        if (!host.isUnavailable()) {
          others.remove(host.name());
        }
        return Optional.of(
            Failure.of(
                ResultCode.BUDGET_EXHAUSTED,
                group.key(),
                group.maxUnavailable(),
                others.isEmpty() ? "none" : String.join(", ", others)));
      }
    }
    return Optional.empty();
  }

  /** Returns the use of every budget group that has hosts in the pool, ordered by key. */
  public List<BudgetUse> usesOf(String pool) {
    SortedMap<String, BudgetGroup> groups = new TreeMap<>();
    for (Host host : hosts.inPool(pool)) {
      groupsOf(host).forEach(group -> groups.put(group.key(), group));
    }
    return groups.values().stream().map(this::use).toList();
  }
}
