package org.persimmonloom.core.release;

import java.util.Map;

/**
 * An availability budget.
 *
 * @param pool the pool it guards, or {@link #EVERY_POOL}
 * @param domain what is counted together: the whole pool, or its hosts in one rack or data centre
 * @param maxUnavailable how many hosts of one domain may be unavailable at once
 */
public record BudgetDefinition(String name, String pool, Domain domain, int maxUnavailable) {
  /** Stands for every pool; each pool is then counted on its own. */
  public static final String EVERY_POOL = "*";

  /** What a budget counts together. */
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
