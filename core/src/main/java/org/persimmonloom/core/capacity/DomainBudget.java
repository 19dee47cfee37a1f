package org.persimmonloom.core.capacity;

import org.persimmonloom.core.release.BudgetDefinition.Domain;

/**
 * The use of one availability budget in one domain of one pool.
 *
 * @param name name of the rack or data centre; the pool's name if the budget covers the whole pool
 * @param maxUnavailable maximum number of unavailable hosts
 * @param unavailable hosts that count against the budget at present
 */
public record DomainBudget(Domain domain, String name, int maxUnavailable, int unavailable) {
  /** Returns how many more hosts may become unavailable; never negative. */
  public int room() {
    return Math.max(0, maxUnavailable - unavailable);
  }

  /** Returns whether a host in this rack and data centre counts against this budget. */
  public boolean covers(String rack, String dataCentre) {
    return switch (domain) {
      case POOL -> true;
      case RACK -> name.equals(rack);
      case DATA_CENTRE -> name.equals(dataCentre);
    };
  }
}
