package org.persimmonloom.core.claim;

import java.util.List;

/**
 * A complete response of an endpoint, with its end-to-end headers. Also the form in which it
 * travels between entry hosts.
 *
 * @param headers end-to-end headers, in order
 */
public record CompleteResponse(int status, List<Header> headers, byte[] body) {
  /** Bytes that an entry takes besides its body and headers; an estimate. */
  static final int OVERHEAD_BYTES = 512;

  public CompleteResponse {
    headers = List.copyOf(headers);
  }

  /** One header line. */
  public record Header(String name, String value) {}

  /** Returns about how many bytes of memory the answer takes. */
  public long sizeBytes() {
    long size = OVERHEAD_BYTES + body.length;
    for (Header header : headers) {
      size += 2L * (header.name().length() + header.value().length());
    }
    return size;
  }
}
