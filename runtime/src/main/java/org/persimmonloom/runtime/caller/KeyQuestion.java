package org.persimmonloom.runtime.caller;

/**
 * Query for whether a copy of a request runs at the receiving host. The receiver abandons a claim
 * of its own on the key that is still undecided. Answered with a {@code ClaimStatus}.
 */
public record KeyQuestion(String service, String key) {
  /** Kind of the question on the peer connection. */
  public static final String KIND = "key-status";
}
