package org.persimmonloom.core.claim;

import org.persimmonloom.core.result.RunOutcome;

/**
 * The current claim of a request key.
 *
 * @param holder entry host that holds it
 * @param incarnation the holder's incarnation; a later run of the same process is not the holder
 * @param state where the claim stands
 * @param outcome null unless the claim is settled
 * @param createdMillis the time in the key
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
  /** Where a claim stands. */
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
