package org.persimmonloom.core.routing;

/** Assigns an endpoint slot to a request. The slot stays in use until the attempt is completed. */
public record Assignment(long requestId, RoutingEndpoint endpoint, WorkClass workClass) {}
