package org.persimmonloom.core.maintenance;

import java.util.List;

/**
 * Who holds a budget. Immutable.
 *
 * @param holders the unavailable hosts, planned, lost and moving together, sorted by name
 * @param unplanned those among them that nobody asked to take out
 */
public record BudgetUse(BudgetGroup group, List<String> holders, List<String> unplanned) {
  public BudgetUse {
    holders = List.copyOf(holders);
    unplanned = List.copyOf(unplanned);
  }

  /** Returns how many more hosts may become unavailable; negative if the budget does not hold. */
  public int room() {
    return group.maxUnavailable() - holders.size();
  }
}
