package org.persimmonloom.tool.measure;

import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;
import org.persimmonloom.core.routing.EndpointCapacity;

/** Each host picks the endpoint with the fewest of its own requests; no exchange of loads. */
final class LeastLoadedStrategy implements RoutingStrategy {
  @Override
  public String label() {
    return "least loaded";
  }

  @Override
  public Map<String, Integer> shares(
      String host, int service, Collection<EndpointCapacity> endpoints, LoadView view) {
    return endpoints.stream()
        .collect(Collectors.toMap(EndpointCapacity::name, EndpointCapacity::slots));
  }
}
