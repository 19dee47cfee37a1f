package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.claim.ClaimAdmission;
import org.persimmonloom.core.claim.ClaimHolder;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.ClaimStatus;
import org.persimmonloom.core.claim.RequestFingerprint;
import org.persimmonloom.core.claim.RequestKey;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.PeerChannel;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Runs non-repeatable requests. The first copy of a request key at this host proposes a claim;
 * every other copy waits for the existing claim, at this host or at the entry host that holds it.
 *
 * <p>A copy that stops waiting while another copy may still run is answered as unknown, never as
 * not run. Safe for any thread.
 */
@Singleton
final class ClaimedRequests {
  private static final long MAX_RETAINED_ANSWER_BYTES = 16L << 20;
  private static final long MAX_RETAINED_ANSWER_MILLIS = 5 * 60_000;

  /** Leaves room for the envelope in a peer frame of 1 MiB. */
  private static final long MAX_PEER_ANSWER_BYTES = 900 * 1024;

  private static final long PEER_STATUS_WAIT_MILLIS = 400;
  private static final long PEER_QUERY_TIMEOUT_MILLIS = 1_000;
  private static final long FOLLOW_INTERVAL_MILLIS = 50;

  private final ClaimHolder holder =
      new ClaimHolder(MAX_RETAINED_ANSWER_BYTES, MAX_RETAINED_ANSWER_MILLIS);
  private final Map<String, ClaimExecution> inProgress = new ConcurrentHashMap<>();
  private final RequestContext context;
  private final ClaimEndProposer endProposer;
  private final Proposer proposer;
  private final ReplicatedState state;
  private final PeerChannel peers;
  private final String self;
  private final String claimPrefix;
  private final NotRunCheck notRunCheck;

  @Inject
  ClaimedRequests(
      RequestContext context,
      ClaimEndProposer endProposer,
      Proposer proposer,
      ReplicatedState state,
      PeerChannel peers,
      EntrySettings settings) {
    this.context = context;
    this.endProposer = endProposer;
    this.proposer = proposer;
    this.state = state;
    this.peers = peers;
    this.self = settings.name();
    claimPrefix = self + "-" + Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";
    notRunCheck = new NotRunCheck(state, peers, self, context);
    peers.handle(ClaimQuestion.KIND, (peer, question) -> answerClaimQuestion(question));
    peers.handle(KeyQuestion.KIND, (peer, question) -> answerKeyQuestion(question));
  }

  /** Starts the request, or answers it at once if its key is missing or malformed. */
  ClaimedRequestCopy submit(ServiceDispatcher dispatcher, CallerRequest request) {
    ClaimedRequestCopy copy = new ClaimedRequestCopy(context, dispatcher, request);
    if (request.key() == null) {
      copy.finish(
          CallerAnswer.notRun(Failure.of(ResultCode.REQUEST_KEY_MISSING, request.service())));
      return copy;
    }
    Either<Failure, RequestKey> key = RequestKey.parse(request.key());
    if (key.isLeft()) {
      copy.finish(CallerAnswer.notRun(key.getLeft()));
      return copy;
    }
    copy.startDeadlineTimer();
    follow(copy, null);
    return copy;
  }

  /** Returns the number of claims here that are neither settled nor abandoned. */
  int inProgress() {
    return inProgress.size();
  }

  /** Ends all executions because the process stops. */
  void endAll() {
    List.copyOf(inProgress.values()).forEach(ClaimExecution::end);
  }

  private void follow(ClaimedRequestCopy copy, String supersedes) {
    if (copy.answer().isDone()) {
      return;
    }
    CallerRequest request = copy.request();
    if (holder.findOpenClaim(request.service(), request.key()).isEmpty()) {
      Optional<Claim> claim =
          state.read(fleet -> fleet.claims().find(request.service(), request.key()));
      if (claim.isPresent() && !isReplaceable(claim.get(), supersedes)) {
        followFoldedClaim(copy, claim.get());
        return;
      }
    }
    if (!copy.dispatcher().hasRoomForClaim()) {
      copy.finishWithoutRun(
          Failure.of(
              ResultCode.QUEUE_FULL, request.service(), copy.dispatcher().service().queueLimit()));
      return;
    }
    admit(copy, supersedes);
  }

  private static boolean isReplaceable(Claim claim, String supersedes) {
    return claim.state() == Claim.State.RELEASED || claim.claimId().equals(supersedes);
  }

  private void admit(ClaimedRequestCopy copy, String supersedes) {
    CallerRequest request = copy.request();
    ClaimRequested proposed =
        new ClaimRequested(
            request.service(),
            request.key(),
            copy.fingerprint(),
            claimPrefix + context.nextId(),
            supersedes);
    ClaimExecution execution = null;
    ClaimAdmission admission;
    synchronized (this) {
      admission = holder.admit(proposed, request.deadlineMillis(), context.now());
      if (admission instanceof ClaimAdmission.Propose propose) {
        execution = newExecution(copy, propose.claim());
      }
    }
    if (execution != null) {
      copy.attachTo(execution, () -> follow(copy, null));
      execution.start(proposer);
    } else if (admission instanceof ClaimAdmission.Duplicate duplicate) {
      followLocalClaim(copy, duplicate);
    } else if (admission instanceof ClaimAdmission.Refused refused) {
      copy.finish(CallerAnswer.notRun(refused.failure()));
    }
  }

  private ClaimExecution newExecution(ClaimedRequestCopy copy, ClaimRequested claim) {
    ClaimExecution execution =
        new ClaimExecution(
            context, holder, endProposer, copy.dispatcher(), copy.request(), claim, notRunCheck);
    inProgress.put(claim.claimId(), execution);
    execution.outcome().whenComplete((unused, failure) -> inProgress.remove(claim.claimId()));
    return execution;
  }

  private void followLocalClaim(ClaimedRequestCopy copy, ClaimAdmission.Duplicate duplicate) {
    copy.recordLocalCopy();
    ClaimExecution execution;
    synchronized (this) {
      execution = inProgress.get(duplicate.claimId());
    }
    if (duplicate.status().kind() == ClaimStatus.Kind.RUNNING && execution != null) {
      copy.attachTo(execution, () -> follow(copy, null));
    } else {
      applyStatus(copy, duplicate.claimId(), duplicate.status());
    }
  }

  private void followFoldedClaim(ClaimedRequestCopy copy, Claim claim) {
    if (claim.fingerprint() != copy.fingerprint()) {
      copy.finish(CallerAnswer.notRun(Failure.of(ResultCode.REQUEST_KEY_REUSED, claim.key())));
      return;
    }
    copy.recordRemoteCopy();
    boolean isHolderLive =
        state.read(fleet -> fleet.entryHosts().isLive(claim.holder(), claim.incarnation()));
    if (claim.state() == Claim.State.SETTLED && claim.outcome() == RunOutcome.UNKNOWN) {
      copy.finish(CallerAnswer.unknown("the claim of the request was settled as unknown"));
    } else if (!isHolderLive) {
      copy.finish(
          claim.state() == Claim.State.SETTLED
              ? answerGone()
              : CallerAnswer.unknown("entry host " + claim.holder() + " is no longer live"));
    } else {
      queryHolder(claim).whenComplete((status, failure) -> applyHolderStatus(copy, claim, status));
    }
  }

  private CompletableFuture<ClaimStatus> queryHolder(Claim claim) {
    if (claim.holder().equals(self)) {
      return CompletableFuture.completedFuture(holder.status(claim.claimId(), context.now()));
    }
    byte[] question = ProposalTypes.CODEC.encode(new ClaimQuestion(claim.claimId()));
    return peers
        .ask(claim.holder(), ClaimQuestion.KIND, question, PEER_QUERY_TIMEOUT_MILLIS)
        .thenApply(
            bytes ->
                ProposalTypes.CODEC
                    .decode(bytes, ClaimStatus.class)
                    .getOrElse(ClaimStatus.of(ClaimStatus.Kind.NOT_KNOWN)));
  }

  private void applyHolderStatus(ClaimedRequestCopy copy, Claim claim, ClaimStatus status) {
    ClaimStatus reported = status == null ? ClaimStatus.of(ClaimStatus.Kind.NOT_KNOWN) : status;
    boolean isAnswerGone =
        reported.kind() == ClaimStatus.Kind.NOT_KNOWN && claim.state() == Claim.State.SETTLED;
    applyStatus(
        copy,
        claim.claimId(),
        isAnswerGone ? ClaimStatus.of(ClaimStatus.Kind.ANSWER_GONE) : reported);
  }

  private void applyStatus(ClaimedRequestCopy copy, String claimId, ClaimStatus status) {
    switch (status.kind()) {
      case ANSWERED -> copy.finish(CallerAnswer.of(status.answer()));
      case ANSWER_GONE -> copy.finish(answerGone());
      case OUTCOME_UNKNOWN ->
          copy.finish(
              CallerAnswer.unknown("the first copy of the request got no complete response"));
      case ABANDONED -> context.timer.after(0, () -> follow(copy, claimId));
      case RUNNING, NOT_KNOWN ->
          context.timer.after(FOLLOW_INTERVAL_MILLIS, () -> follow(copy, null));
      default -> throw new IllegalStateException(status.kind().name());
    }
  }

  private static CallerAnswer answerGone() {
    return new CallerAnswer(null, Failure.of(ResultCode.DUPLICATE_ANSWER_GONE), RunOutcome.RAN);
  }

  private CompletableFuture<byte[]> answerClaimQuestion(byte[] question) {
    Either<Failure, ClaimQuestion> decoded =
        ProposalTypes.CODEC.decode(question, ClaimQuestion.class);
    return decoded.isLeft() ? encodedNotKnown() : statusWithinWait(decoded.get().claimId());
  }

  /** Abandons an undecided claim of this host on the key as well, so that neither copy runs. */
  private CompletableFuture<byte[]> answerKeyQuestion(byte[] question) {
    Either<Failure, KeyQuestion> decoded = ProposalTypes.CODEC.decode(question, KeyQuestion.class);
    Optional<String> claimId =
        decoded.isLeft()
            ? Optional.empty()
            : holder.findOpenClaim(decoded.get().service(), decoded.get().key());
    if (claimId.isEmpty()) {
      return encodedNotKnown();
    }
    Optional.ofNullable(inProgress.get(claimId.get()))
        .ifPresent(ClaimExecution::abandonIfUndecided);
    return holder.status(claimId.get(), context.now()).kind() == ClaimStatus.Kind.ABANDONED
        ? CompletableFuture.completedFuture(encode(ClaimStatus.of(ClaimStatus.Kind.ABANDONED)))
        : statusWithinWait(claimId.get());
  }

  private static CompletableFuture<byte[]> encodedNotKnown() {
    return CompletableFuture.completedFuture(encode(ClaimStatus.of(ClaimStatus.Kind.NOT_KNOWN)));
  }

  /** Returns the status once the execution ends, or after {@link #PEER_STATUS_WAIT_MILLIS}. */
  private CompletableFuture<byte[]> statusWithinWait(String claimId) {
    ClaimExecution execution = inProgress.get(claimId);
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    Runnable reply = () -> answer.complete(encode(holder.status(claimId, context.now())));
    if (execution == null) {
      reply.run();
    } else {
      execution.outcome().whenComplete((unused, failure) -> reply.run());
      var timeout = context.timer.after(PEER_STATUS_WAIT_MILLIS, reply);
      answer.whenComplete((unused, failure) -> timeout.cancel(false));
    }
    return answer;
  }

  private static byte[] encode(ClaimStatus status) {
    boolean isTooLarge =
        status.answer() != null && status.answer().sizeBytes() > MAX_PEER_ANSWER_BYTES;
    return ProposalTypes.CODEC.encode(
        isTooLarge ? ClaimStatus.of(ClaimStatus.Kind.ANSWER_GONE) : status);
  }

  /** Returns a hash that distinguishes different requests with the same key. */
  static long fingerprint(CallerRequest request) {
    return RequestFingerprint.of(request.method(), request.target(), request.body());
  }
}
