package org.persimmonloom.core.claim;

import org.persimmonloom.core.result.Failure;

/** Decision of {@link ClaimHolder#admit} about a request that may not be repeated. */
public sealed interface ClaimAdmission {
  /**
   * First copy of the request at this host: the caller of {@link ClaimHolder#admit} proposes this
   * claim.
   */
  record Propose(ClaimRequested claim) implements ClaimAdmission {}

  /** Duplicate of a request at this host: its outcome is that of the claim with this identifier. */
  record Duplicate(String claimId, ClaimStatus status) implements ClaimAdmission {}

  /** The key was used for a different request; this request is refused and does not run. */
  record Refused(Failure failure) implements ClaimAdmission {}
}
