package org.persimmonloom.core.routing;

/**
 * An endpoint that requests can be routed to.
 *
 * @param name name of the host
 * @param address {@code ip:port}
 * @param rack failure domain within the data centre
 */
public record RoutingEndpoint(String name, String address, String rack, String dataCentre) {}
