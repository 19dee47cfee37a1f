package org.persimmonloom.core.capacity;

import org.persimmonloom.core.release.BudgetDefinition.Domain;

/**
 * What one availability budget still allows in one domain of one pool.
 *
 * @param name name of the rack or data centre; the pool's name if the whole pool is counted
 * @param maxUnavailable limit of the budget, in hosts
 * @param unavailable hosts that count against it now
 */
public record DomainBudget(Domain domain, String name, int maxUnavailable, int unavailable) {
  /** Returns how many more hosts may become unavailable; never negative. */
  public int room() {
    return Math.max(0, maxUnavailable - unavailable);
  }

  /** Returns whether a host there counts against this budget. */
  public boolean covers(String rack, String dataCentre) {
    return switch (domain) {
      case POOL -> true;
      case RACK -> name.equals(rack);
      case DATA_CENTRE -> name.equals(dataCentre);
    };
  }
}
