package org.persimmonloom.tool.oracle;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts planned losses that break an availability budget, as the stand-ins of the hosts see them.
 * Safe for any thread.
 *
 * <p>Planned and unplanned losses use up the same budget, but only a planned loss that begins when
 * the budget is used up is a violation, because nobody grants an unplanned one.
 */
public final class BudgetCheck {
  private final Map<String, Integer> limits = new HashMap<>();
  private final Map<String, Set<String>> down = new HashMap<>();
  private long violations;

  /** Sets how many hosts of a failure domain or pool may be unavailable at once. */
  public synchronized void limit(String domain, int maxUnavailable) {
    limits.put(domain, maxUnavailable);
  }

  /** Records that a host went down. */
  public synchronized void down(String domain, String host, boolean isPlanned) {
    Set<String> hosts = down.computeIfAbsent(domain, key -> new HashSet<>());
    boolean isNew = hosts.add(host);
    if (isNew && isPlanned && hosts.size() > limits.getOrDefault(domain, Integer.MAX_VALUE)) {
      violations++;
    }
  }

  /** Records that a host is back. */
  public synchronized void up(String domain, String host) {
    down.getOrDefault(domain, new HashSet<>()).remove(host);
  }

  /** Returns the number of planned losses that broke a budget. */
  public synchronized long violations() {
    return violations;
  }
}
