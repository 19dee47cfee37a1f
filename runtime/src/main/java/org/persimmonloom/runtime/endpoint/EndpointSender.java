package org.persimmonloom.runtime.endpoint;

import org.persimmonloom.core.routing.RoutingEndpoint;

/** Starts attempts at endpoints. Safe for any thread; does not block. */
@FunctionalInterface
public interface EndpointSender {
  /** Starts one attempt. */
  EndpointCall send(RoutingEndpoint endpoint, EndpointRequest request);
}
