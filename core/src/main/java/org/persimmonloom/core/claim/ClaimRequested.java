package org.persimmonloom.core.claim;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Claims the right to dispatch a request that may not be repeated.
 *
 * @param service name of the service
 * @param key text of the request key
 * @param fingerprint hash of method, path and body; detects a key that is used for two different
 *     requests
 * @param claimId unique; contains the proposer's incarnation
 * @param supersedes identifier of the abandoned claim that this one replaces; null for a first
 *     claim. The holder of that claim guarantees that it is never dispatched.
 */
public record ClaimRequested(
    String service, String key, long fingerprint, String claimId, String supersedes)
    implements Proposal {
  public ClaimRequested {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(claimId, "claimId");
  }
}
