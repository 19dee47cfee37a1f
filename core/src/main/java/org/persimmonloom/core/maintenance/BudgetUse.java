package org.persimmonloom.core.maintenance;

import java.util.List;

/**
 * The hosts that count against a budget. Immutable.
 *
 * @param holders the unavailable hosts, whether planned, lost or moving, sorted by name
 * @param unplanned the holders whose unavailability was not planned
 */
public record BudgetUse(BudgetGroup group, List<String> holders, List<String> unplanned) {
  public BudgetUse {
    holders = List.copyOf(holders);
    unplanned = List.copyOf(unplanned);
  }

  /** Returns how many more hosts may become unavailable; negative if the budget is exceeded. */
  public int room() {
    return group.maxUnavailable() - holders.size();
  }
}
