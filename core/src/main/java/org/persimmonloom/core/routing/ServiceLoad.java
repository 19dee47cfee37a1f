package org.persimmonloom.core.routing;

/**
 * The load of one service at one entry host.
 *
 * @param queued requests that wait
 * @param inProgress requests at endpoints
 */
public record ServiceLoad(int queued, int inProgress) {}
