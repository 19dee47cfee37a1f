package org.persimmonloom.runtime.caller;

/** Asks the holder of a claim where the claim stands. Answered with a {@code ClaimStatus}. */
public record ClaimQuestion(String claimId) {
  /** Kind of the question on the peer connection. */
  public static final String KIND = "claim-status";
}
