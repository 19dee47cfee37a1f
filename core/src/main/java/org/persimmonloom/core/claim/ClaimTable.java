package org.persimmonloom.core.claim;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.member.EntryHostListener;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;

/**
 * The current claims of request keys, for requests that may not be repeated.
 *
 * <p>At most one claim of a key may be dispatched at any time: the first one in the log, until its
 * holder releases or settles it. A held claim has no lease, because a holder that is paused between
 * a lease check and the send would send after another host took over. A claim is discarded only
 * when its key is older than {@link #WINDOW_MILLIS}, and such a key is refused; since fold time
 * never decreases, a discarded key can't be claimed again. Confined to the thread that folds.
 */
public final class ClaimTable implements ReplicatedTable<ClaimTable.Snapshot>, EntryHostListener {
  /**
   * Time from the creation of a key during which it can be claimed and its claim is kept. Must be
   * shorter than the retention time of the log.
   */
  public static final long WINDOW_MILLIS = 10 * 60_000L;

  /** Largest accepted lead of a caller's clock over fold time. */
  public static final long MAX_AHEAD_MILLIS = 60_000;

  private final TreeMap<String, Claim> claims = new TreeMap<>();
  private final TreeMap<Long, TreeSet<String>> qualifiedKeysByCreation = new TreeMap<>();

  /** Contents of the table. */
  public record Snapshot(List<Claim> claims) {
    public Snapshot {
      claims = List.copyOf(claims);
    }
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(ClaimRequested.class, this::request);
    registry.register(ClaimSettled.class, this::settle);
    registry.register(ClaimReleased.class, this::release);
  }

  private Either<Failure, String> request(ClaimRequested request, Position position) {
    Either<Failure, RequestKey> parsed = RequestKey.parse(request.key());
    if (parsed.isLeft()) {
      return Either.left(parsed.getLeft());
    }
    RequestKey key = parsed.get();
    Optional<Failure> refusal = checkAge(key, position.timeMillis());
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    Claim current = claims.get(qualifiedKey(request.service(), request.key()));
    if (current != null) {
      Optional<Failure> conflict = checkCurrent(current, request);
      if (conflict.isPresent()) {
        return Either.left(conflict.get());
      }
    }
    put(
        new Claim(
            request.service(),
            request.key(),
            request.fingerprint(),
            request.claimId(),
            position.author(),
            position.incarnation(),
            Claim.State.HELD,
            null,
            key.createdMillis()));
    return Either.right("held by " + position.author());
  }

  private static Optional<Failure> checkAge(RequestKey key, long foldTimeMillis) {
    if (key.createdMillis() < foldTimeMillis - WINDOW_MILLIS) {
      return Optional.of(Failure.of(ResultCode.REQUEST_KEY_EXPIRED, key.text()));
    }
    if (key.createdMillis() > foldTimeMillis + MAX_AHEAD_MILLIS) {
      return Optional.of(
          Failure.of(ResultCode.REQUEST_KEY_INVALID, key.text(), "its time is in the future"));
    }
    return Optional.empty();
  }

  private static Optional<Failure> checkCurrent(Claim current, ClaimRequested request) {
    if (current.fingerprint() != request.fingerprint()) {
      return Optional.of(Failure.of(ResultCode.REQUEST_KEY_REUSED, request.key()));
    }
    boolean isClaimable =
        current.state() == Claim.State.RELEASED
            || (current.state() == Claim.State.HELD
                && current.claimId().equals(request.supersedes()));
    if (isClaimable) {
      return Optional.empty();
    }
    return Optional.of(Failure.of(ResultCode.CLAIM_LOST, request.key(), current.holder()));
  }

  private Either<Failure, String> settle(ClaimSettled settled, Position position) {
    Claim current = claims.get(qualifiedKey(settled.service(), settled.key()));
    if (!isHeld(current, settled.claimId()) || settled.outcome() == RunOutcome.NOT_RUN) {
      return Either.left(Failure.of(ResultCode.CLAIM_NOT_CURRENT, settled.claimId()));
    }
    put(current.settled(settled.outcome()));
    return Either.right(settled.outcome().headerValue());
  }

  private Either<Failure, String> release(ClaimReleased released, Position position) {
    Claim current = claims.get(qualifiedKey(released.service(), released.key()));
    if (!isHeld(current, released.claimId())) {
      return Either.left(Failure.of(ResultCode.CLAIM_NOT_CURRENT, released.claimId()));
    }
    put(current.released());
    return Either.right("released");
  }

  private static boolean isHeld(Claim claim, String claimId) {
    return claim != null && claim.state() == Claim.State.HELD && claim.claimId().equals(claimId);
  }

  /**
   * Settles the claims that the ended incarnation still held with an unknown outcome, because there
   * is no record of whether they were dispatched.
   */
  @Override
  public void incarnationEnded(String name, long incarnation, Position position) {
    List<Claim> held = new ArrayList<>();
    for (Claim claim : claims.values()) {
      if (claim.incarnation() == incarnation
          && claim.holder().equals(name)
          && claim.state() == Claim.State.HELD) {
        held.add(claim);
      }
    }
    held.forEach(claim -> put(claim.settled(RunOutcome.UNKNOWN)));
  }

  @Override
  public void advance(long foldTimeMillis) {
    var expired = qualifiedKeysByCreation.headMap(foldTimeMillis - WINDOW_MILLIS);
    expired.values().forEach(keys -> keys.forEach(claims::remove));
    expired.clear();
  }

  private void put(Claim claim) {
    String qualifiedKey = qualifiedKey(claim.service(), claim.key());
    claims.put(qualifiedKey, claim);
    qualifiedKeysByCreation
        .computeIfAbsent(claim.createdMillis(), unused -> new TreeSet<>())
        .add(qualifiedKey);
  }

  private static String qualifiedKey(String service, String key) {
    return service + '/' + key;
  }

  /** Returns the current claim of the key. */
  public Optional<Claim> find(String service, String key) {
    return Optional.ofNullable(claims.get(qualifiedKey(service, key)));
  }

  /** Returns the number of claims in the table. */
  public int size() {
    return claims.size();
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(List.copyOf(claims.values()));
  }

  @Override
  public void restore(Snapshot snapshot) {
    claims.clear();
    qualifiedKeysByCreation.clear();
    snapshot.claims().forEach(this::put);
  }
}
