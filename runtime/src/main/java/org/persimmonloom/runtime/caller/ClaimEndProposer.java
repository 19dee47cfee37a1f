package org.persimmonloom.runtime.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.ProposalException;
import org.persimmonloom.runtime.log.Proposer;

/**
 * Brings settlements and releases of claims into the log, and knows how many are not folded yet.
 * Safe for any thread.
 */
@Singleton
final class ClaimEndProposer {
  private static final long RETRY_MILLIS = 200;

  private final Proposer proposer;
  private final RequestTimer timer;
  private final AtomicInteger pending = new AtomicInteger();

  @Inject
  ClaimEndProposer(Proposer proposer, RequestTimer timer) {
    this.proposer = proposer;
    this.timer = timer;
  }

  /** Proposes until the fold has decided; a full queue of proposals only delays it. */
  void propose(Proposal ending, Runnable onDecided) {
    pending.incrementAndGet();
    proposeOnce(ending, onDecided);
  }

  private void proposeOnce(Proposal ending, Runnable onDecided) {
    proposer
        .propose(List.of(ending))
        .whenComplete(
            (verdicts, failure) -> {
              if (isQueueFull(failure)) {
                timer.after(RETRY_MILLIS, () -> proposeOnce(ending, onDecided));
                return;
              }
              onDecided.run();
              pending.decrementAndGet();
            });
  }

  private static boolean isQueueFull(Throwable failure) {
    return failure instanceof ProposalException refused
        && refused.failure().code() == ResultCode.LOG_UNAVAILABLE;
  }

  /** Returns the number of endings whose verdict was not seen yet. */
  int pending() {
    return pending.get();
  }
}
