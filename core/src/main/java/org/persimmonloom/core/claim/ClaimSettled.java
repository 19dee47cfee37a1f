package org.persimmonloom.core.claim;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.result.RunOutcome;

/**
 * Records the outcome of a claim that was dispatched.
 *
 * @param outcome {@link RunOutcome#RAN} or {@link RunOutcome#UNKNOWN}; the claim of a request that
 *     did not run is released instead
 */
public record ClaimSettled(String service, String key, String claimId, RunOutcome outcome)
    implements Proposal {
  public ClaimSettled {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(claimId, "claimId");
    Objects.requireNonNull(outcome, "outcome");
  }
}
