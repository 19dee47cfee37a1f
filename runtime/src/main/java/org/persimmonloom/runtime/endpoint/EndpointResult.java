package org.persimmonloom.runtime.endpoint;

import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.routing.AttemptResult;

/**
 * How an attempt ended.
 *
 * @param response the complete response to this attempt; null unless the result is {@link
 *     AttemptResult#SUCCEEDED} or {@link AttemptResult#FAILED}
 * @param mayHaveRun false only if no byte of the request can have been sent
 * @param isRefused whether the endpoint did not accept a connection, which may mean that it leaves
 * @param reason one line for the caller and the metrics; empty if complete
 */
public record EndpointResult(
    AttemptResult result,
    CompleteResponse response,
    boolean mayHaveRun,
    boolean isRefused,
    String reason,
    long runMillis) {}
