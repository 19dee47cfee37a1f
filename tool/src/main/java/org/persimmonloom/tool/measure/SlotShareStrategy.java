package org.persimmonloom.tool.measure;

import java.util.Collection;
import java.util.Map;
import org.persimmonloom.core.routing.EndpointCapacity;
import org.persimmonloom.core.routing.SlotShares;

/** Each host uses its share of the slots, computed from the exchanged loads. */
final class SlotShareStrategy implements RoutingStrategy {
  @Override
  public String label() {
    return "slot shares";
  }

  @Override
  public Map<String, Integer> shares(
      String host, int service, Collection<EndpointCapacity> endpoints, LoadView view) {
    return SlotShares.apportion("service-" + service, endpoints, view.loads(service)).slotsOf(host);
  }
}
