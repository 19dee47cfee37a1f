package org.persimmonloom.runtime.caller;

/**
 * Query to the holder of a claim for the status of the claim. Answered with a {@code ClaimStatus}.
 */
public record ClaimQuestion(String claimId) {
  /** Kind of the question on the peer connection. */
  public static final String KIND = "claim-status";
}
