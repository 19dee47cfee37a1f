package org.persimmonloom.core.routing;

import org.persimmonloom.core.release.ServiceDefinition;

/**
 * Limits of a service's scheduler, taken from the definition of the service.
 *
 * @param queueLimit maximum number of requests that one entry host queues for the service
 * @param shortLimitMillis run time up to which a request counts as short, in milliseconds
 */
public record RoutingLimits(String service, int queueLimit, long shortLimitMillis) {
  /** Returns the limits in a service definition. */
  public static RoutingLimits of(ServiceDefinition definition) {
    return new RoutingLimits(
        definition.name(), definition.queueLimit(), definition.shortLimitMillis());
  }
}
