package org.persimmonloom.runtime.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.claim.ClaimStatus;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.PeerChannel;

/**
 * Determines whether a request may be reported as not run after its claim was abandoned while
 * undecided.
 *
 * <p>It is unknown whether a copy of the request at another entry host won the claim, so every
 * registered entry host is queried. A host whose own claim on the key is undecided abandons it as
 * well; a host that dispatched the request answers with its response. "Not run" is reported only if
 * all hosts answered and none runs the request; if one can't be reached, the outcome is unknown.
 * Safe for any thread.
 */
final class NotRunCheck {
  private static final long QUERY_TIMEOUT_MILLIS = 1_000;
  private static final long QUERY_INTERVAL_MILLIS = 50;

  private final ReplicatedState state;
  private final PeerChannel peers;
  private final String self;
  private final RequestContext context;

  NotRunCheck(ReplicatedState state, PeerChannel peers, String self, RequestContext context) {
    this.state = state;
    this.peers = peers;
    this.self = self;
    this.context = context;
  }

  /** Reply of one entry host; {@code status} is null if it did not answer. */
  private record Reply(String host, ClaimStatus status) {}

  /**
   * Returns the answer for the request, or empty if the fold holds a claim of another host; the
   * caller must then follow that claim.
   *
   * @param claimId the abandoned claim
   * @param reason failure to report if no copy of the request ran
   * @param deadlineMillis when to stop waiting for a copy that runs at another entry host
   */
  CompletableFuture<Optional<CallerAnswer>> check(
      KeyQuestion key, String claimId, Failure reason, long deadlineMillis) {
    Optional<Claim> foldedClaim =
        state.read(fleet -> fleet.claims().find(key.service(), key.key()));
    boolean isClaimedElsewhere =
        foldedClaim.isPresent()
            && foldedClaim.get().state() != Claim.State.RELEASED
            && !foldedClaim.get().claimId().equals(claimId);
    if (isClaimedElsewhere) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    List<String> others =
        state.read(
            fleet ->
                fleet.entryHosts().live().stream()
                    .map(EntryHost::name)
                    .filter(name -> !name.equals(self))
                    .toList());
    CompletableFuture<Optional<CallerAnswer>> answer = new CompletableFuture<>();
    queryHosts(others, key, reason, deadlineMillis, answer);
    return answer;
  }

  private void queryHosts(
      List<String> hosts,
      KeyQuestion key,
      Failure reason,
      long deadlineMillis,
      CompletableFuture<Optional<CallerAnswer>> answer) {
    List<CompletableFuture<Reply>> replies = new ArrayList<>();
    hosts.forEach(host -> replies.add(query(host, key)));
    CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
        .whenComplete(
            (unused, failure) -> {
              List<Reply> received = replies.stream().map(CompletableFuture::join).toList();
              Optional<CallerAnswer> combined = combine(received, reason);
              if (combined.isPresent()) {
                answer.complete(combined);
              } else if (context.now() >= deadlineMillis) {
                answer.complete(
                    Optional.of(
                        CallerAnswer.unknown(
                            "another copy of the request had not ended by the deadline")));
              } else {
                context.timer.after(
                    QUERY_INTERVAL_MILLIS,
                    () -> queryHosts(hosts, key, reason, deadlineMillis, answer));
              }
            });
  }

  private CompletableFuture<Reply> query(String host, KeyQuestion key) {
    return peers
        .ask(host, KeyQuestion.KIND, ProposalTypes.CODEC.encode(key), QUERY_TIMEOUT_MILLIS)
        .handle(
            (bytes, failure) ->
                new Reply(
                    host,
                    failure != null
                        ? null
                        : ProposalTypes.CODEC
                            .decode(bytes, ClaimStatus.class)
                            .getOrElse((ClaimStatus) null)));
  }

  /** Combines the replies into one answer; empty while a copy still runs. */
  private static Optional<CallerAnswer> combine(List<Reply> replies, Failure reason) {
    List<String> unreachable = new ArrayList<>();
    boolean isRunning = false;
    for (Reply reply : replies) {
      if (reply.status() == null) {
        unreachable.add(reply.host());
        continue;
      }
      switch (reply.status().kind()) {
        case ANSWERED -> {
          return Optional.of(CallerAnswer.of(reply.status().answer()));
        }
        case OUTCOME_UNKNOWN -> {
          return Optional.of(
              CallerAnswer.unknown("another copy of the request got no complete response"));
        }
        case ANSWER_GONE -> {
          return Optional.of(
              new CallerAnswer(null, Failure.of(ResultCode.DUPLICATE_ANSWER_GONE), RunOutcome.RAN));
        }
        case RUNNING -> isRunning = true;
        default -> {}
      }
    }
    if (isRunning) {
      return Optional.empty();
    }
    return Optional.of(
        unreachable.isEmpty()
            ? CallerAnswer.notRun(reason)
            : CallerAnswer.unknown(
                "another copy of the request may run at " + String.join(", ", unreachable)));
  }
}
