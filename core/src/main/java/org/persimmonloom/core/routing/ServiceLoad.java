package org.persimmonloom.core.routing;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The load of one service at one entry host. Encoded as an array to keep heartbeats small.
 *
 * @param queued number of queued requests
 * @param inProgress number of requests in progress at endpoints
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServiceLoad(int queued, int inProgress) {}
