package org.persimmonloom.core.claim;

/**
 * What the holder of a claim says about it, to its own duplicates and to other entry hosts.
 *
 * @param answer the retained response; null unless {@code kind} is {@link Kind#ANSWERED}
 */
public record ClaimStatus(Kind kind, CompleteResponse answer) {
  /** Where the claim stands in the holder's memory. */
  public enum Kind {
    /** Undecided, queued or at an endpoint: the duplicate waits. */
    RUNNING,
    /** It ran; the response is retained. */
    ANSWERED,
    /** It ran; the response is too large to send or no longer retained. */
    ANSWER_GONE,
    /** It may have run. */
    OUTCOME_UNKNOWN,
    /** Never dispatched and never will be; a claim may supersede it. */
    ABANDONED,
    /** The holder has no record of the claim; says nothing about whether it ran. */
    NOT_KNOWN
  }

  /** Returns a status without an answer. */
  public static ClaimStatus of(Kind kind) {
    return new ClaimStatus(kind, null);
  }
}
