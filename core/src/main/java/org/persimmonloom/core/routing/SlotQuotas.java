package org.persimmonloom.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Apportions the slots of a service to the entry hosts, by the largest-remainder method.
 *
 * <p>Each host first gets one slot, if there are at least as many slots as hosts, so that it can
 * serve its first request before loads are exchanged. If the slots cover the total demand, each
 * host gets its demand and an equal part of the remaining slots, so that idle hosts have slots for
 * a burst. Otherwise each host gets its demand up to an equal part of most of the slots, and the
 * rest is divided in proportion to the unmet demand. Both rules give the same quotas where demand
 * equals the slots, so a small change in demand changes the quotas little.
 */
final class SlotQuotas {
  /**
   * Fraction of the slots that is divided equally between hosts with demand. If all slots were
   * divided in proportion to loads that are 500 ms old, a host with a short queue would lose slots,
   * build up a long queue, get the slots back, and so on; in the routing measurement this raised
   * the wait of short work.
   */
  private static final double EQUAL_FRACTION = 0.75;

  private SlotQuotas() {}

  private record HostRemainder(String host, int floor, double remainder, long hash) {}

  /** Returns the quota of each host; they add up to {@code slots} unless there is no host. */
  static Map<String, Integer> apportion(String service, int slots, Map<String, ServiceLoad> loads) {
    int hosts = loads.size();
    int base = hosts > 0 && slots >= hosts ? 1 : 0;
    int divisibleSlots = slots - base * hosts;
    double equalPart = EQUAL_FRACTION * divisibleSlots / Math.max(1, hosts);
    double demand = 0;
    double guaranteedTotal = 0;
    for (ServiceLoad load : loads.values()) {
      demand += demand(load, base);
      guaranteedTotal += Math.min(demand(load, base), equalPart);
    }
    double scale =
        demand > divisibleSlots
            ? (divisibleSlots - guaranteedTotal) / (demand - guaranteedTotal)
            : 1;
    double sparePerHost = Math.max(0, divisibleSlots - demand) / Math.max(1, hosts);
    List<HostRemainder> remainders = new ArrayList<>();
    Map<String, Integer> quotas = new TreeMap<>();
    int assigned = 0;
    for (Map.Entry<String, ServiceLoad> entry : loads.entrySet()) {
      double hostDemand = demand(entry.getValue(), base);
      double guaranteed = Math.min(hostDemand, equalPart);
      double exact = base + guaranteed + (hostDemand - guaranteed) * scale + sparePerHost;
      int floor = (int) Math.floor(exact);
      long hash = SlotShares.hash(service, entry.getKey());
      remainders.add(new HostRemainder(entry.getKey(), floor, exact - floor, hash));
      quotas.put(entry.getKey(), floor);
      assigned += floor;
    }
    remainders.sort(
        Comparator.comparingDouble(HostRemainder::remainder)
            .reversed()
            .thenComparingLong(HostRemainder::hash)
            .thenComparing(HostRemainder::host));
    for (int i = 0; i < remainders.size() && assigned < slots; i++) {
      quotas.merge(remainders.get(i).host(), 1, Integer::sum);
      assigned++;
    }
    return quotas;
  }

  /** Returns the demand of a host beyond the slots that it gets regardless of demand. */
  private static double demand(ServiceLoad load, int base) {
    return Math.max(0, load.queued() + load.inProgress() - base);
  }
}
