package org.persimmonloom.runtime.http;

/**
 * The response to an HTTP call, or the reason why there is none.
 *
 * @param status HTTP status; 0 without a response
 * @param body response body; empty without a response
 * @param noResponse reason for a missing response
 * @param cause description of the failure; empty with a response
 */
public record HttpReply(int status, byte[] body, NoResponse noResponse, String cause) {
  /** The reason why a call has no response. */
  public enum NoResponse {
    NONE,
    /** No part of the request was sent. */
    NOT_SENT,
    /** The request was sent in whole or in part. */
    UNKNOWN
  }

  /** Returns a reply with a response. */
  public static HttpReply of(int status, byte[] body) {
    return new HttpReply(status, body, NoResponse.NONE, "");
  }

  /** Returns a reply without a response. */
  public static HttpReply none(NoResponse reason, String cause) {
    return new HttpReply(0, new byte[0], reason, cause);
  }

  /** Returns whether the call has no response and no part of its request was sent. */
  public boolean isNotSent() {
    return noResponse == NoResponse.NOT_SENT;
  }

  /** Returns the status or the cause, for logs. */
  public String describe() {
    return noResponse == NoResponse.NONE ? "status " + status : noResponse + " " + cause;
  }
}
