package org.persimmonloom.runtime.caller;

/**
 * Asks whether a copy of a request runs at the asked host, which gives up an undecided claim of its
 * own on the key. Answered with a {@code ClaimStatus}.
 */
public record KeyQuestion(String service, String key) {
  /** Kind of the question on the peer connection. */
  public static final String KIND = "key-status";
}
