package org.persimmonloom.core.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts that were ordered within the last duty lease. Not thread-safe. */
public final class RecentHostOrders {
  private final long dutyLeaseMillis;
  private final Map<String, Long> orderedMillis = new HashMap<>();

  /**
   * Creates an empty set.
   *
   * @param dutyLeaseMillis how long an order counts as recent, in ms
   */
  public RecentHostOrders(long dutyLeaseMillis) {
    this.dutyLeaseMillis = dutyLeaseMillis;
  }

  /** Records orders for hosts. */
  public void ordered(Collection<String> hosts, long nowMillis) {
    hosts.forEach(host -> orderedMillis.put(host, nowMillis));
  }

  /** Returns the identifiers of the hosts, in alphabetical order. */
  public List<String> hosts(long nowMillis) {
    orderedMillis.values().removeIf(ordered -> nowMillis - ordered > dutyLeaseMillis);
    return orderedMillis.keySet().stream().sorted().toList();
  }
}
