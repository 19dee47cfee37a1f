package org.persimmonloom.core.routing;

/**
 * An endpoint as routing sees it.
 *
 * @param name name of the host
 * @param address {@code ip:port}
 * @param rack failure domain within the data centre
 */
public record RoutingEndpoint(String name, String address, String rack, String dataCentre) {}
