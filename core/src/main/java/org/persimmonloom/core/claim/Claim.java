package org.persimmonloom.core.claim;

import org.persimmonloom.core.result.RunOutcome;

/**
 * The current claim of a request key.
 *
 * @param holder entry host that proposed the claim and may dispatch the request
 * @param incarnation the holder's incarnation; a later incarnation of the same host is not the
 *     holder
 * @param state state of the claim
 * @param outcome null unless the claim is settled
 * @param createdMillis creation time in the key, in milliseconds since the epoch
 */
public record Claim(
    String service,
    String key,
    long fingerprint,
    String claimId,
    String holder,
    long incarnation,
    State state,
    RunOutcome outcome,
    long createdMillis) {
  /** State of a claim. */
  public enum State {
    HELD,
    RELEASED,
    SETTLED
  }

  Claim released() {
    return with(State.RELEASED, null);
  }

  Claim settled(RunOutcome result) {
    return with(State.SETTLED, result);
  }

  private Claim with(State next, RunOutcome result) {
    return new Claim(
        service, key, fingerprint, claimId, holder, incarnation, next, result, createdMillis);
  }
}
