package org.persimmonloom.runtime.endpoint;

import java.util.List;
import java.util.Map;

/**
 * A complete answer of an endpoint.
 *
 * @param headers the end-to-end headers, in order
 */
public record EndpointAnswer(int status, List<Map.Entry<String, String>> headers, byte[] body) {
  public EndpointAnswer {
    headers = List.copyOf(headers);
  }
}
