package org.persimmonloom.runtime.endpoint;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.persimmonloom.core.claim.CompleteResponse.Header;

/**
 * Removes the headers that concern one connection only (RFC 9110, section 7.6.1), among them those
 * that {@code Connection} names. Stateless.
 */
public final class HopByHopHeaders {
  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  private HopByHopHeaders() {}

  /** Returns the end-to-end headers, in order. */
  public static List<Header> remove(List<Header> headers) {
    Set<String> named = new HashSet<>();
    for (Header header : headers) {
      if (header.name().equalsIgnoreCase("connection")) {
        for (String name : header.value().split(",")) {
          named.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> kept = new ArrayList<>();
    for (Header header : headers) {
      String name = header.name().toLowerCase(Locale.ROOT);
      if (!NAMES.contains(name) && !named.contains(name)) {
        kept.add(header);
      }
    }
    return kept;
  }
}
