package org.persimmonloom.core.claim;

import org.persimmonloom.core.result.Failure;

/** What the holder decides about a non-repeatable request that a caller sends to it. */
public sealed interface Arrival {
  /** The first copy here: propose this claim. */
  record Propose(ClaimRequested claim) implements Arrival {}

  /** A duplicate: the claim with this identifier decides its outcome too. */
  record Duplicate(String claimId, ClaimStatus status) implements Arrival {}

  /** The key belongs to a different request; this one is refused as not run. */
  record Refused(Failure failure) implements Arrival {}
}
