package org.persimmonloom.core.claim;

import org.persimmonloom.core.result.Failure;

/** What the holder decides about a non-repeatable request that a caller sends to it. */
public sealed interface ClaimAdmission {
  /** The first copy here: propose this claim. */
  record Propose(ClaimRequested claim) implements ClaimAdmission {}

  /** A duplicate: the claim with this identifier decides its outcome too. */
  record Duplicate(String claimId, ClaimStatus status) implements ClaimAdmission {}

  /** The key belongs to a different request; this one is refused as not run. */
  record Refused(Failure failure) implements ClaimAdmission {}
}
