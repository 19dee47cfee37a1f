package org.persimmonloom.core.release;

import java.util.Map;

/**
 * An availability budget: a limit on the hosts that are unavailable at the same time.
 *
 * @param pool pool to which the budget applies, or {@link #EVERY_POOL}
 * @param domain group of hosts to which the limit applies: the whole pool, or its hosts in one rack
 *     or data centre
 * @param maxUnavailable maximum number of unavailable hosts in one domain
 */
public record BudgetDefinition(String name, String pool, Domain domain, int maxUnavailable) {
  /** Applies the budget to every pool; each pool is counted separately. */
  public static final String EVERY_POOL = "*";

  /** The group of hosts to which the limit of a budget applies. */
  public enum Domain {
    POOL,
    RACK,
    DATA_CENTRE
  }

  static BudgetDefinition from(String name, Map<String, String> values) {
    Domain domain =
        switch (values.get("domain")) {
          case "rack" -> Domain.RACK;
          case "data_centre" -> Domain.DATA_CENTRE;
          default -> Domain.POOL;
        };
    return new BudgetDefinition(
        name, values.get("pool"), domain, Integer.parseInt(values.get("max_unavailable")));
  }
}
