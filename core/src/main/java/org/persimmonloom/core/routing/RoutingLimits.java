package org.persimmonloom.core.routing;

import org.persimmonloom.core.release.ServiceDefinition;

/**
 * The part of a service's definition that bounds its scheduler.
 *
 * @param queueLimit requests that one entry host holds for the service
 * @param shortLimitMillis run time up to which a request counts as short, in milliseconds
 */
public record RoutingLimits(String service, int queueLimit, long shortLimitMillis) {
  /** Returns the limits that a definition states. */
  public static RoutingLimits of(ServiceDefinition definition) {
    return new RoutingLimits(
        definition.name(), definition.queueLimit(), definition.shortLimitMillis());
  }
}
