package org.persimmonloom.runtime.caller;

import java.util.List;
import java.util.Map;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.routing.RoutingEndpoint;

/** Divides the slots of endpoints between the entry hosts. Safe for any thread. */
@FunctionalInterface
public interface SlotShareSource {
  /** Returns this host's share of the slots of each endpoint, by endpoint name. */
  Map<String, Integer> shares(ServiceDefinition service, List<RoutingEndpoint> endpoints);
}
