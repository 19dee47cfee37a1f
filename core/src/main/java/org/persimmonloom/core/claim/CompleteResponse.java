package org.persimmonloom.core.claim;

import java.util.List;

/**
 * A complete response of an endpoint, with its end-to-end headers. Also the format in which entry
 * hosts exchange it.
 *
 * @param headers end-to-end headers, in order
 */
public record CompleteResponse(int status, List<Header> headers, byte[] body) {
  /** Estimated memory of a retained response besides its body and headers. */
  static final int OVERHEAD_BYTES = 512;

  public CompleteResponse {
    headers = List.copyOf(headers);
  }

  /** One header line. */
  public record Header(String name, String value) {}

  /** Returns the estimated memory of the response in bytes. */
  public long sizeBytes() {
    long size = OVERHEAD_BYTES + body.length;
    for (Header header : headers) {
      size += 2L * (header.name().length() + header.value().length());
    }
    return size;
  }
}
