package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.claim.ClaimHolder;
import org.persimmonloom.core.claim.ClaimReleased;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.Assignment;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.PendingRequest;
import org.persimmonloom.core.routing.WorkClass;
import org.persimmonloom.runtime.endpoint.EndpointCall;
import org.persimmonloom.runtime.endpoint.EndpointResult;
import org.persimmonloom.runtime.log.ProposalException;
import org.persimmonloom.runtime.log.Proposer;

/**
 * A claim of this host and the dispatch of its non-repeatable request.
 *
 * <p>Decisions that must be made at most once are left to {@link ClaimHolder}; this class carries
 * them out. All copies of the request that wait at this host share the outcome. Safe for any
 * thread.
 */
final class ClaimExecution implements ServiceDispatcher.Waiter {
  private static final int MAX_ATTEMPTS = 4;

  private final CompletableFuture<Optional<CallerAnswer>> outcome = new CompletableFuture<>();
  private final RequestContext context;
  private final ClaimHolder holder;
  private final ClaimEndProposer endProposer;
  private final ServiceDispatcher dispatcher;
  private final CallerRequest request;
  private final ClaimRequested claim;
  private final NotRunCheck notRunCheck;
  private final Set<String> triedEndpoints = new HashSet<>();
  private int waiterCount;
  private int attempt;
  private long pendingId;
  private EndpointCall call;
  private boolean isStopping;
  private volatile WorkClass workClass;

  ClaimExecution(
      RequestContext context,
      ClaimHolder holder,
      ClaimEndProposer endProposer,
      ServiceDispatcher dispatcher,
      CallerRequest request,
      ClaimRequested claim,
      NotRunCheck notRunCheck) {
    this.notRunCheck = notRunCheck;
    this.context = context;
    this.holder = holder;
    this.endProposer = endProposer;
    this.dispatcher = dispatcher;
    this.request = request;
    this.claim = claim;
  }

  /** Completes with the answer for every copy, or empty if the claim was lost to another host. */
  CompletableFuture<Optional<CallerAnswer>> outcome() {
    return outcome;
  }

  WorkClass workClass() {
    return workClass;
  }

  synchronized void addWaiter() {
    waiterCount++;
  }

  /**
   * Records that one copy stopped waiting. After the last one, a request that is not dispatched is
   * cancelled.
   */
  void removeWaiter() {
    synchronized (this) {
      waiterCount--;
      if (waiterCount > 0) {
        return;
      }
    }
    refuse(Failure.of(ResultCode.CANCELLED));
  }

  /** Proposes the claim and limits the wait for the decision. */
  void start(Proposer proposer) {
    long waitMillis =
        Math.max(
            0, Math.min(ClaimHolder.CLAIM_WAIT_MILLIS, request.deadlineMillis() - context.now()));
    dispatcher.undecidedClaims().incrementAndGet();
    var timeout = context.timer.after(waitMillis, () -> abandonIfUndecided(waitMillis));
    proposer
        .propose(List.of(claim))
        .whenComplete(
            (results, failure) -> {
              timeout.cancel(false);
              dispatcher.undecidedClaims().decrementAndGet();
              onDecided(results, failure);
            });
  }

  /** Abandons the claim if it is undecided, because another host abandoned its claim on the key. */
  void abandonIfUndecided() {
    abandonIfUndecided(context.now() - request.arrivedMillis());
  }

  private void abandonIfUndecided(long waitedMillis) {
    if (holder.abandonIfUndecided(claim.claimId())) {
      release();
      checkNotRun(Failure.of(ResultCode.CLAIM_UNAVAILABLE, waitedMillis));
    }
  }

  /** Reports the request as not run only if no other entry host runs a copy. */
  private void checkNotRun(Failure reason) {
    notRunCheck
        .check(
            new KeyQuestion(claim.service(), claim.key()),
            claim.claimId(),
            reason,
            request.deadlineMillis())
        .thenAccept(outcome::complete);
  }

  private void onDecided(List<ProposalResult> results, Throwable failure) {
    if (failure == null && results.get(0).isAccepted()) {
      if (holder.recordAccepted(claim.claimId())) {
        queue();
      }
      return;
    }
    if (!holder.recordRefused(claim.claimId())) {
      return;
    }
    if (failure != null) {
      Failure reason =
          failure instanceof ProposalException refused
              ? refused.failure()
              : Failure.of(ResultCode.INTERNAL, failure);
      checkNotRun(reason);
    } else if (results.get(0).code() == ResultCode.CLAIM_LOST) {
      outcome.complete(Optional.empty());
    } else {
      ProposalResult result = results.get(0);
      outcome.complete(
          Optional.of(CallerAnswer.notRun(new Failure(result.code(), result.detail()))));
    }
  }

  private void queue() {
    PendingRequest pending;
    synchronized (this) {
      pendingId = context.nextId();
      pending = request.pending(pendingId, attempt, triedEndpoints);
    }
    Either<Failure, WorkClass> offered = dispatcher.offer(pending, this);
    offered.peek(assigned -> workClass = assigned).peekLeft(this::refuse);
    if (outcome.isDone()) {
      dispatcher.cancel(pending.id());
    }
  }

  @Override
  public void onExpired() {
    refuse(deadlineUnreachable());
  }

  private Failure deadlineUnreachable() {
    return Failure.of(
        ResultCode.DEADLINE_UNREACHABLE, request.deadlineMillis() - request.arrivedMillis());
  }

  @Override
  public void onAssigned(Assignment assignment) {
    if (!holder.tryDispatch(claim.claimId(), context.now())) {
      dispatcher.releaseSlot(assignment, AttemptResult.CANCELLED, 0);
      refuse(deadlineUnreachable());
      return;
    }
    workClass = assignment.workClass();
    EndpointCall started = context.send(request, dispatcher.service(), assignment, attempt());
    boolean cancelAtOnce;
    synchronized (this) {
      call = started;
      cancelAtOnce = isStopping;
    }
    if (cancelAtOnce) {
      started.cancel();
    }
    started.result().thenAccept(result -> onAttemptEnd(assignment, result));
  }

  private synchronized int attempt() {
    return attempt;
  }

  private void onAttemptEnd(Assignment assignment, EndpointResult result) {
    boolean stopAfterAttempt;
    synchronized (this) {
      call = null;
      attempt++;
      triedEndpoints.add(assignment.endpoint().name());
      stopAfterAttempt = isStopping;
    }
    if (result.mayHaveRun()) {
      settle(result);
    } else {
      holder.revertDispatch(claim.claimId());
      retryOrRefuse(result, stopAfterAttempt);
    }
    context.recordAttemptEnd(dispatcher, assignment, result);
  }

  private void retryOrRefuse(EndpointResult result, boolean stopAfterAttempt) {
    int nextAttempt = attempt();
    long delayMillis = RequestContext.backoffMillis(nextAttempt);
    if (stopAfterAttempt) {
      refuse(Failure.of(ResultCode.STOPPING));
    } else if (nextAttempt < MAX_ATTEMPTS
        && context.now() + delayMillis < request.deadlineMillis()) {
      context.metrics.countRetry(request.service());
      context.timer.after(delayMillis, this::queue);
    } else {
      refuse(Failure.of(ResultCode.ATTEMPTS_EXHAUSTED, result.reason()));
    }
  }

  private void settle(EndpointResult result) {
    CompleteResponse response = result.response();
    holder
        .settle(claim.claimId(), response, context.now())
        .ifPresent(settled -> endProposer.propose(settled, () -> {}));
    outcome.complete(
        Optional.of(
            response == null ? CallerAnswer.unknown(result.reason()) : CallerAnswer.of(response)));
  }

  /** Refuses the request as not run, unless it was dispatched. */
  private void refuse(Failure failure) {
    if (!holder.abandon(claim.claimId())) {
      return;
    }
    release();
    outcome.complete(Optional.of(CallerAnswer.notRun(failure)));
    long abandonedId;
    synchronized (this) {
      abandonedId = pendingId;
    }
    dispatcher.cancel(abandonedId);
  }

  private void release() {
    endProposer.propose(
        new ClaimReleased(claim.service(), claim.key(), claim.claimId()),
        () -> holder.recordReleased(claim.claimId()));
  }

  /** Ends the execution because the process stops. */
  void end() {
    EndpointCall running;
    synchronized (this) {
      isStopping = true;
      running = call;
    }
    refuse(Failure.of(ResultCode.STOPPING));
    if (running != null) {
      running.cancel();
    }
  }
}
