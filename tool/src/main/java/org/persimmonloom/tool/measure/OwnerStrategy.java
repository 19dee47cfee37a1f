package org.persimmonloom.tool.measure;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.persimmonloom.core.routing.EndpointCapacity;

/**
 * Each endpoint is used by its owner only, the first host in rendezvous-hash order. Requests are
 * forwarded to the owner that has the smallest load per slot by the reports.
 */
final class OwnerStrategy implements RoutingStrategy {
  @Override
  public String label() {
    return "endpoint owners";
  }

  @Override
  public Map<String, Integer> shares(
      String host, int service, Collection<EndpointCapacity> endpoints, LoadView view) {
    Map<String, Integer> shares = new TreeMap<>();
    for (EndpointCapacity endpoint : endpoints) {
      if (host.equals(owner(endpoint, view.hosts()))) {
        shares.put(endpoint.name(), endpoint.slots());
      }
    }
    return shares;
  }

  @Override
  public String holder(
      String host, int service, Collection<EndpointCapacity> endpoints, LoadView view) {
    Map<String, Integer> slots = new TreeMap<>();
    for (EndpointCapacity endpoint : endpoints) {
      slots.merge(owner(endpoint, view.hosts()), endpoint.slots(), Integer::sum);
    }
    return slots.keySet().stream()
        .min(
            Comparator.comparingDouble(
                    (String owner) -> (double) view.expectedLoad(owner, service) / slots.get(owner))
                .thenComparing(owner -> !owner.equals(host)))
        .orElse(host);
  }

  private static String owner(EndpointCapacity endpoint, List<String> hosts) {
    return hosts.stream()
        .max(
            Comparator.comparingLong(
                host -> LongHashFunction.xx().hashChars(host + "\n" + endpoint.name())))
        .orElse("");
  }
}
