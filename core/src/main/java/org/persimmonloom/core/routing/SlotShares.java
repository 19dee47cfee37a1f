package org.persimmonloom.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * The entry hosts' shares of the slots and connections of a service's endpoints.
 *
 * <p>The shares are a pure function of the service, its endpoints and the load of each live entry
 * host, so hosts with the same inputs compute the same shares without coordination.
 *
 * <ol>
 *   <li>{@link SlotQuotas} apportions the slots of the whole service to the hosts.
 *   <li>The slots are allocated in rounds. Each round visits the pairs of host and endpoint in a
 *       fixed order by hash, and a pair gets a slot if neither the host's quota nor the endpoint's
 *       slots are used up. This spreads the slots of a host over endpoints, and since the order
 *       doesn't depend on demand, a small change of quotas reassigns few slots.
 * </ol>
 *
 * <p>Invariants: the shares of an endpoint never add up to more than its slots or connections;
 * every host has at least one slot if there are at least as many slots as hosts. Immutable.
 */
public final class SlotShares {
  private final Map<String, Map<String, Integer>> slots;
  private final Map<String, EndpointCapacity> endpoints;

  private record Pair(String host, EndpointCapacity endpoint, long hash) {}

  private SlotShares(
      Map<String, Map<String, Integer>> slots, Map<String, EndpointCapacity> endpoints) {
    this.slots = slots;
    this.endpoints = endpoints;
  }

  /**
   * Computes the shares.
   *
   * @param service name of the service; part of the hash, so that the order differs between
   *     services
   * @param loads the load of each live entry host, this one included
   */
  public static SlotShares apportion(
      String service, Collection<EndpointCapacity> endpoints, Map<String, ServiceLoad> loads) {
    Map<String, EndpointCapacity> byName = new TreeMap<>();
    endpoints.forEach(endpoint -> byName.put(endpoint.name(), endpoint));
    int total = byName.values().stream().mapToInt(EndpointCapacity::usableSlots).sum();
    Map<String, Integer> quotas = SlotQuotas.apportion(service, total, loads);
    return new SlotShares(allocate(pairs(service, byName.values(), loads), quotas), byName);
  }

  /** Returns a host's slots by endpoint; endpoints where it has none are absent. */
  public Map<String, Integer> slotsOf(String host) {
    return slots.getOrDefault(host, Map.of());
  }

  /** Returns a host's connections by endpoint, in proportion to its slots and never fewer. */
  public Map<String, Integer> connectionsOf(String host) {
    Map<String, Integer> connections = new TreeMap<>();
    slotsOf(host)
        .forEach(
            (name, share) -> {
              EndpointCapacity endpoint = endpoints.get(name);
              long connectionShare = (long) share * endpoint.connections() / endpoint.usableSlots();
              connections.put(name, (int) connectionShare);
            });
    return connections;
  }

  private static List<Pair> pairs(
      String service, Collection<EndpointCapacity> endpoints, Map<String, ServiceLoad> loads) {
    List<Pair> pairs = new ArrayList<>(endpoints.size() * loads.size());
    for (EndpointCapacity endpoint : endpoints) {
      for (String host : loads.keySet()) {
        pairs.add(new Pair(host, endpoint, hash(service, host, endpoint.name())));
      }
    }
    pairs.sort(
        Comparator.comparingLong(Pair::hash)
            .thenComparing(Pair::host)
            .thenComparing(pair -> pair.endpoint().name()));
    return pairs;
  }

  private static Map<String, Map<String, Integer>> allocate(
      List<Pair> pairs, Map<String, Integer> quotas) {
    Map<String, Integer> remainingQuotas = new HashMap<>(quotas);
    Map<String, Integer> usedSlots = new HashMap<>();
    Map<String, Map<String, Integer>> allocated = new TreeMap<>();
    List<Pair> openPairs = pairs;
    while (!openPairs.isEmpty()) {
      List<Pair> nextPairs = new ArrayList<>();
      for (Pair pair : openPairs) {
        String endpoint = pair.endpoint().name();
        boolean isFull = usedSlots.getOrDefault(endpoint, 0) >= pair.endpoint().usableSlots();
        if (isFull || remainingQuotas.getOrDefault(pair.host(), 0) == 0) {
          continue;
        }
        remainingQuotas.merge(pair.host(), -1, Integer::sum);
        usedSlots.merge(endpoint, 1, Integer::sum);
        allocated
            .computeIfAbsent(pair.host(), host -> new TreeMap<>())
            .merge(endpoint, 1, Integer::sum);
        nextPairs.add(pair);
      }
      openPairs = nextPairs;
    }
    return allocated;
  }

  static long hash(String... parts) {
    byte[] bytes = String.join("\n", parts).getBytes(StandardCharsets.UTF_8);
    return LongHashFunction.xx().hashBytes(bytes);
  }
}
