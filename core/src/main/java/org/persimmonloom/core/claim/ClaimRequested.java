package org.persimmonloom.core.claim;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Asks for the right to dispatch a request that may not be repeated.
 *
 * @param service the service
 * @param key text of the request key
 * @param fingerprint hash of method, path and body, so that a key that is used for two different
 *     requests is refused
 * @param claimId unique; contains the proposer's incarnation
 * @param supersedes identifier of the abandoned claim that this one replaces; null for a first
 *     claim. The holder of that claim has promised never to dispatch it.
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
