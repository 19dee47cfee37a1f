package org.persimmonloom.core.claim;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;

/**
 * State machine of the claims that one entry host proposes.
 *
 * <p>A claim is proposed, then held once this host has folded its acceptance, then dispatched, then
 * settled. A proposed or held claim can be abandoned; a dispatched one cannot. Dispatching and
 * abandoning are mutually exclusive under the monitor of this object, so an abandoned claim is
 * never dispatched, however late its acceptance is folded, and a dispatched claim is never reported
 * as not run. A pause of the process between any two steps does not change this: no step depends on
 * a lease, and no other host may dispatch the request while this claim is the current one.
 *
 * <p>Retained responses are limited by {@code maxRetainedBytes} and {@code maxRetainedMillis}. Safe
 * for any thread; does not block. Times are in milliseconds since the epoch.
 */
public final class ClaimHolder {
  /**
   * Longest time that a request waits until its claim is accepted or refused; the request's
   * deadline may end the wait earlier.
   */
  public static final long CLAIM_WAIT_MILLIS = 2_000;

  private enum State {
    PROPOSED,
    HELD,
    DISPATCHED,
    SETTLED,
    ABANDONED
  }

  private static final class Entry {
    private final ClaimRequested claim;
    private final long deadlineMillis;
    private State state = State.PROPOSED;
    private RunOutcome outcome;
    private CompleteResponse answer;
    private long settledMillis;

    private Entry(ClaimRequested claim, long deadlineMillis) {
      this.claim = claim;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private final long maxRetainedBytes;
  private final long maxRetainedMillis;
  private final Map<String, Entry> byClaimId = new HashMap<>();
  private final Map<String, Entry> byKey = new HashMap<>();
  private final ArrayDeque<Entry> settledEntries = new ArrayDeque<>();
  private long retainedBytes;

  /** Creates a holder without claims. */
  public ClaimHolder(long maxRetainedBytes, long maxRetainedMillis) {
    this.maxRetainedBytes = maxRetainedBytes;
    this.maxRetainedMillis = maxRetainedMillis;
  }

  /**
   * Decides whether a request is the first copy of its key at this host. If it is, its claim is
   * recorded as proposed; the claim supersedes an abandoned claim of the same key at this host.
   */
  public synchronized ClaimAdmission admit(
      ClaimRequested claim, long deadlineMillis, long nowMillis) {
    evictExpired(nowMillis);
    Entry existing = byKey.get(qualifiedKey(claim.service(), claim.key()));
    if (existing != null && existing.claim.fingerprint() != claim.fingerprint()) {
      return new ClaimAdmission.Refused(Failure.of(ResultCode.REQUEST_KEY_REUSED, claim.key()));
    }
    if (existing != null && existing.state != State.ABANDONED) {
      return new ClaimAdmission.Duplicate(existing.claim.claimId(), status(existing));
    }
    ClaimRequested proposed = claim;
    if (existing != null && claim.supersedes() == null) {
      proposed =
          new ClaimRequested(
              claim.service(),
              claim.key(),
              claim.fingerprint(),
              claim.claimId(),
              existing.claim.claimId());
    }
    Entry entry = new Entry(proposed, deadlineMillis);
    byClaimId.put(proposed.claimId(), entry);
    byKey.put(qualifiedKey(proposed.service(), proposed.key()), entry);
    return new ClaimAdmission.Propose(proposed);
  }

  /**
   * Records that the fold accepted the claim.
   *
   * @return whether the request may be queued; false if the claim is not in the proposed state, for
   *     example because it was abandoned
   */
  public synchronized boolean recordAccepted(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null || entry.state != State.PROPOSED) {
      return false;
    }
    entry.state = State.HELD;
    return true;
  }

  /**
   * Records that the fold refused the claim, or that the claim will certainly never be folded, and
   * removes it.
   *
   * @return whether the claim was still proposed; false if it was abandoned before
   */
  public synchronized boolean recordRefused(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null) {
      return false;
    }
    boolean isWaiting = entry.state == State.PROPOSED;
    remove(entry);
    return isWaiting;
  }

  /** Abandons the claim if it is still proposed; returns whether this call abandoned it. */
  public synchronized boolean abandonIfUndecided(String claimId) {
    Entry entry = byClaimId.get(claimId);
    return entry != null && entry.state == State.PROPOSED && abandon(claimId);
  }

  /**
   * Abandons the claim if it is proposed or held.
   *
   * @return whether this call abandoned the claim. If so, the request did not and will not run
   *     under this claim, and the caller of this method must propose {@link ClaimReleased}
   */
  public synchronized boolean abandon(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null || (entry.state != State.PROPOSED && entry.state != State.HELD)) {
      return false;
    }
    entry.state = State.ABANDONED;
    return true;
  }

  /** Removes an abandoned claim once its release was folded. */
  public synchronized void recordReleased(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry != null && entry.state == State.ABANDONED) {
      remove(entry);
    }
  }

  /**
   * Moves a held claim to dispatched, which gives its caller the right to send the request. Returns
   * true at most once, unless {@link #revertDispatch} reverts it; returns false if the claim is not
   * held or its deadline has passed.
   */
  public synchronized boolean tryDispatch(String claimId, long nowMillis) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null || entry.state != State.HELD || nowMillis >= entry.deadlineMillis) {
      return false;
    }
    entry.state = State.DISPATCHED;
    return true;
  }

  /** Moves a dispatched claim back to held. Only valid if no byte of the request was sent. */
  public synchronized void revertDispatch(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry != null && entry.state == State.DISPATCHED) {
      entry.state = State.HELD;
    }
  }

  /**
   * Settles a dispatched claim and retains its response.
   *
   * @param answer the response of the endpoint; null if the outcome is unknown
   * @return the settlement to propose; empty if the claim is not in the dispatched state
   */
  public synchronized Optional<ClaimSettled> settle(
      String claimId, CompleteResponse answer, long nowMillis) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null || entry.state != State.DISPATCHED) {
      return Optional.empty();
    }
    entry.state = State.SETTLED;
    entry.outcome = answer == null ? RunOutcome.UNKNOWN : RunOutcome.RAN;
    entry.answer = answer;
    entry.settledMillis = nowMillis;
    retainedBytes += size(entry);
    settledEntries.add(entry);
    evictExpired(nowMillis);
    ClaimRequested claim = entry.claim;
    return Optional.of(
        new ClaimSettled(claim.service(), claim.key(), claim.claimId(), entry.outcome));
  }

  /** Returns the status of the claim at this holder. */
  public synchronized ClaimStatus status(String claimId, long nowMillis) {
    evictExpired(nowMillis);
    Entry entry = byClaimId.get(claimId);
    return entry == null ? ClaimStatus.of(ClaimStatus.Kind.NOT_KNOWN) : status(entry);
  }

  /**
   * Returns the identifier of this host's claim whose outcome a duplicate of the key must wait for.
   * An abandoned claim is not returned, because a copy at another host may have claimed the key
   * since.
   */
  public synchronized Optional<String> findOpenClaim(String service, String key) {
    return Optional.ofNullable(byKey.get(qualifiedKey(service, key)))
        .filter(entry -> entry.state != State.ABANDONED)
        .map(entry -> entry.claim.claimId());
  }

  /** Returns the estimated size in bytes of the retained responses. */
  public synchronized long retainedBytes() {
    return retainedBytes;
  }

  private static ClaimStatus status(Entry entry) {
    return switch (entry.state) {
      case PROPOSED, HELD, DISPATCHED -> ClaimStatus.of(ClaimStatus.Kind.RUNNING);
      case ABANDONED -> ClaimStatus.of(ClaimStatus.Kind.ABANDONED);
      case SETTLED ->
          entry.outcome == RunOutcome.UNKNOWN
              ? ClaimStatus.of(ClaimStatus.Kind.OUTCOME_UNKNOWN)
              : new ClaimStatus(ClaimStatus.Kind.ANSWERED, entry.answer);
    };
  }

  private void evictExpired(long nowMillis) {
    while (!settledEntries.isEmpty()
        && (retainedBytes > maxRetainedBytes
            || settledEntries.peek().settledMillis < nowMillis - maxRetainedMillis)) {
      Entry oldest = settledEntries.poll();
      retainedBytes -= size(oldest);
      remove(oldest);
    }
  }

  private static long size(Entry entry) {
    return entry.answer == null ? CompleteResponse.OVERHEAD_BYTES : entry.answer.sizeBytes();
  }

  private void remove(Entry entry) {
    byClaimId.remove(entry.claim.claimId());
    byKey.remove(qualifiedKey(entry.claim.service(), entry.claim.key()), entry);
  }

  private static String qualifiedKey(String service, String key) {
    return service + '/' + key;
  }
}
