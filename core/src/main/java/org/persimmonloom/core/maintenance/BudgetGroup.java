package org.persimmonloom.core.maintenance;

import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.release.BudgetDefinition;

/**
 * The set of hosts that one budget counts together: the hosts of one pool, or those of one pool
 * within one rack or data centre. Immutable.
 *
 * @param dataCentre empty for a budget over the whole pool
 * @param rack empty unless the budget is one per rack
 */
public record BudgetGroup(
    String budget, String pool, String dataCentre, String rack, int maxUnavailable) {
  static BudgetGroup of(BudgetDefinition budget, Host host, String pool) {
    boolean byRack = budget.domain() == BudgetDefinition.Domain.RACK;
    boolean byDataCentre = byRack || budget.domain() == BudgetDefinition.Domain.DATA_CENTRE;
    return new BudgetGroup(
        budget.name(),
        pool,
        byDataCentre ? host.facts().dataCentre() : "",
        byRack ? host.facts().rack() : "",
        budget.maxUnavailable());
  }

  /** Returns whether the group counts the host, provided that the host is in the group's pool. */
  public boolean contains(Host host) {
    return (dataCentre.isEmpty() || dataCentre.equals(host.facts().dataCentre()))
        && (rack.isEmpty() || rack.equals(host.facts().rack()));
  }

  /** Returns the name of the group that operators see; unique among the groups. */
  public String key() {
    StringBuilder text = new StringBuilder(budget).append("@").append(pool);
    if (!dataCentre.isEmpty()) {
      text.append('/').append(dataCentre);
    }
    if (!rack.isEmpty()) {
      text.append('/').append(rack);
    }
    return text.toString();
  }
}
