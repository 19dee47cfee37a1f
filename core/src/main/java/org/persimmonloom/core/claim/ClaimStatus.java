package org.persimmonloom.core.claim;

/**
 * Status of a claim that its holder reports to duplicates of the request and to other entry hosts.
 *
 * @param answer the retained response; null unless {@code kind} is {@link Kind#ANSWERED}
 */
public record ClaimStatus(Kind kind, CompleteResponse answer) {
  /** State of the claim at its holder. */
  public enum Kind {
    /** The claim is undecided, or its request is queued or at an endpoint; a duplicate waits. */
    RUNNING,
    /** The request ran, and its response is retained. */
    ANSWERED,
    /** The request ran, but its response is too large to send or no longer retained. */
    ANSWER_GONE,
    /** The request may have run. */
    OUTCOME_UNKNOWN,
    /** The claim was not and will not be dispatched; another claim may supersede it. */
    ABANDONED,
    /** The holder has no record of the claim; the request may or may not have run. */
    NOT_KNOWN
  }

  /** Returns a status without an answer. */
  public static ClaimStatus of(Kind kind) {
    return new ClaimStatus(kind, null);
  }
}
