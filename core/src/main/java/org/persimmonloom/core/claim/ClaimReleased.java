package org.persimmonloom.core.claim;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Releases a claim that was not and will not be dispatched; its key may be claimed again. */
public record ClaimReleased(String service, String key, String claimId) implements Proposal {
  public ClaimReleased {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(claimId, "claimId");
  }
}
