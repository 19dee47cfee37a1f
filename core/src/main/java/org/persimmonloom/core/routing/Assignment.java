package org.persimmonloom.core.routing;

/** A slot of an endpoint given to a request. The slot is held until the attempt is completed. */
public record Assignment(long requestId, RoutingEndpoint endpoint, WorkClass workClass) {}
