package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.ProposalException;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.UndecidedProposalException;

/** Proposes on behalf of an operator and waits for the verdict. Safe for any thread. */
@Singleton
public final class ProposalRoutes {
  /** How long an operator waits; longer than one outage of an append, shorter than patience. */
  private static final long WAIT_MILLIS = 5_000;

  private final Proposer proposer;

  @Inject
  public ProposalRoutes(Proposer proposer) {
    this.proposer = proposer;
  }

  /** Returns the accepted verdict, or why the proposal was refused or is undecided. */
  public Either<Failure, ProposalResult> propose(Proposal proposal) {
    try {
      ProposalResult verdict =
          proposer.propose(List.of(proposal)).get(WAIT_MILLIS, TimeUnit.MILLISECONDS).get(0);
      return verdict.isAccepted()
          ? Either.right(verdict)
          : Either.left(new Failure(verdict.code(), verdict.detail()));
    } catch (TimeoutException e) {
      return Either.left(Failure.of(ResultCode.PROPOSAL_UNDECIDED, WAIT_MILLIS));
    } catch (ExecutionException e) {
      if (e.getCause() instanceof ProposalException refused) {
        return Either.left(refused.failure());
      }
      if (e.getCause() instanceof UndecidedProposalException) {
        return Either.left(Failure.of(ResultCode.PROPOSAL_UNDECIDED, WAIT_MILLIS));
      }
      return Either.left(Failure.of(ResultCode.INTERNAL, e.getCause()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(Failure.of(ResultCode.STOPPING));
    }
  }
}
