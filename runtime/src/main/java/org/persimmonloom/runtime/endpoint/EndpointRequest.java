package org.persimmonloom.runtime.endpoint;

import java.util.List;
import org.persimmonloom.core.claim.CompleteResponse.Header;

/**
 * One attempt of a request at an endpoint.
 *
 * @param target path and query
 * @param headers end-to-end headers of the caller
 * @param attempt identifier that the endpoint echoes
 * @param timeoutMillis time left to the deadline; also sent to the endpoint
 * @param progressMillis longest time without a byte from the endpoint
 * @param maxConnections this host's part of the connections that the endpoint accepts
 * @param isRepeatable whether the request may be sent again after it may have run
 */
public record EndpointRequest(
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    String attempt,
    long timeoutMillis,
    long progressMillis,
    int maxConnections,
    boolean isRepeatable) {
  public EndpointRequest {
    headers = List.copyOf(headers);
  }
}
