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
 * Checks the availability budgets against the hosts as they are.
 *
 * <p>A budget has no account of its own that could drift: its use is counted anew from the host
 * table at each check, so that planned, lost, moving and quarantined hosts always count together
 * and a changed definition or a changed rack is in force at once. Confined to the thread that
 * folds.
 */
public final class AvailabilityBudgets {
  private final Supplier<SortedMap<String, BudgetDefinition>> definitions;
  private final HostTable hosts;
  private final Predicate<String> isQuarantined;

  /**
   * Creates the checks of the budgets in force over {@code hosts}.
   *
   * @param isQuarantined tells whether a worker gets no jobs because they fail there
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

  /** Returns the groups that count the host, by budget name. */
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

  /** Returns who holds the budget of a group now. */
  public BudgetUse use(BudgetGroup group) {
    return use(group, Set.of());
  }

  /**
   * Returns the groups that unplanned losses alone use up, by key. Costs one look at each host,
   * because it is asked with each batch while a wave is open.
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
   * Returns why the host must not become or stay unavailable by plan, or empty if every budget that
   * counts it holds with it.
   */
  public Optional<Failure> check(Host host) {
    return check(host, Set.of());
  }

  /** As {@link #check(Host)}, with further hosts that are about to become unavailable. */
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

  /** Returns the use of every budget over a pool that has hosts, in the order of the keys. */
  public List<BudgetUse> usesOf(String pool) {
    SortedMap<String, BudgetGroup> groups = new TreeMap<>();
    for (Host host : hosts.inPool(pool)) {
      groupsOf(host).forEach(group -> groups.put(group.key(), group));
    }
    return groups.values().stream().map(this::use).toList();
  }
}
