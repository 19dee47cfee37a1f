package org.persimmonloom.core.claim;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;

/**
 * The decisions of one entry host about the claims that it proposes.
 *
 * <p>A claim goes from proposed to held (its verdict was folded here), to dispatched and to
 * settled. A proposed or held claim can be abandoned, a dispatched one cannot. Both decisions are
 * taken under the monitor of this object, so a claim that is abandoned is never dispatched, however
 * late its verdict arrives, and a claim that was dispatched is never reported as not run. A pause
 * of the process between any two steps changes neither: no step depends on a lease, and no other
 * host may dispatch while this claim is the current one.
 *
 * <p>Retained answers are bounded by {@code maxRetainedBytes} and {@code maxRetainedMillis}. Safe
 * for any thread; does not block. Times are in milliseconds since the epoch.
 */
public final class ClaimHolder {
  /**
   * How long a request waits for the verdict on its claim; the request's deadline bounds it too.
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
   * Decides about a request. For the first copy the claim counts as proposed from now on; it
   * supersedes an abandoned claim of the same key at this host.
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
   * Records that the claim was accepted by the fold.
   *
   * @return whether the request may be queued; false if the claim was abandoned before
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
   * Records that the claim was refused by the fold, or is certain never to be folded.
   *
   * @return whether the request still waited; false if it was abandoned before
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

  /** Abandons the claim if its verdict has not been seen; returns whether it did. */
  public synchronized boolean abandonIfUndecided(String claimId) {
    Entry entry = byClaimId.get(claimId);
    return entry != null && entry.state == State.PROPOSED && abandon(claimId);
  }

  /**
   * Abandons the claim unless it was dispatched.
   *
   * @return whether the claim is abandoned by this call: the request did not run and never will
   *     under this claim, and the caller of this method proposes {@link ClaimReleased}
   */
  public synchronized boolean abandon(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null || (entry.state != State.PROPOSED && entry.state != State.HELD)) {
      return false;
    }
    entry.state = State.ABANDONED;
    return true;
  }

  /** Forgets an abandoned claim once its release was folded. */
  public synchronized void recordReleased(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry != null && entry.state == State.ABANDONED) {
      remove(entry);
    }
  }

  /**
   * Takes the right to dispatch. Returns true at most once, unless {@link #revertDispatch} gives
   * the right back; false if the claim is not held or its deadline has passed.
   */
  public synchronized boolean tryDispatch(String claimId, long nowMillis) {
    Entry entry = byClaimId.get(claimId);
    if (entry == null || entry.state != State.HELD || nowMillis >= entry.deadlineMillis) {
      return false;
    }
    entry.state = State.DISPATCHED;
    return true;
  }

  /** Gives the right to dispatch back, because no byte of the request can have been sent. */
  public synchronized void revertDispatch(String claimId) {
    Entry entry = byClaimId.get(claimId);
    if (entry != null && entry.state == State.DISPATCHED) {
      entry.state = State.HELD;
    }
  }

  /**
   * Ends a dispatched claim and retains its answer.
   *
   * @param answer null if the outcome is unknown
   * @return the settlement to propose; empty if the claim was not dispatched or is settled
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

  /** Returns what is known of the claim. */
  public synchronized ClaimStatus status(String claimId, long nowMillis) {
    evictExpired(nowMillis);
    Entry entry = byClaimId.get(claimId);
    return entry == null ? ClaimStatus.of(ClaimStatus.Kind.NOT_KNOWN) : status(entry);
  }

  /**
   * Returns the claim of this host that a duplicate of the key must follow. An abandoned claim is
   * not followed, because a copy at another host may have claimed the key since.
   */
  public synchronized Optional<String> findOpenClaim(String service, String key) {
    return Optional.ofNullable(byKey.get(qualifiedKey(service, key)))
        .filter(entry -> entry.state != State.ABANDONED)
        .map(entry -> entry.claim.claimId());
  }

  /** Returns the bytes that retained answers take. */
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
