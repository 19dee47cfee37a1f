package org.persimmonloom.runtime.http;

import java.util.Map;

/**
 * A POST request with a JSON body.
 *
 * @param address IP address and port of the server
 * @param path path and query
 * @param headers additional headers
 * @param body JSON text
 * @param limitMillis maximum time from the post until the whole response has arrived, in ms
 */
public record HttpPost(
    String address, String path, Map<String, String> headers, String body, int limitMillis) {
  /** Copies the headers. */
  public HttpPost {
    headers = Map.copyOf(headers);
  }
}
