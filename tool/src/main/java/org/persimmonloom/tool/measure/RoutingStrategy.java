package org.persimmonloom.tool.measure;

import java.util.Collection;
import java.util.Map;
import org.persimmonloom.core.routing.EndpointCapacity;

/** A way for entry hosts to use the same endpoints without asking each other for each request. */
interface RoutingStrategy {
  String label();

  /** Returns the slots that a host may use, by endpoint. */
  Map<String, Integer> shares(
      String host, int service, Collection<EndpointCapacity> endpoints, LoadView view);

  /** Returns the host that queues a request which arrived at {@code host}. */
  default String holder(
      String host, int service, Collection<EndpointCapacity> endpoints, LoadView view) {
    return host;
  }
}
