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
 * Proposes settlements and releases of claims, and counts those that are not folded yet. Safe for
 * any thread.
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

  /**
   * Proposes the settlement or release, again while the proposal queue is full. Runs {@code
   * onDecided} when the proposal was decided or has failed.
   */
  void propose(Proposal ending, Runnable onDecided) {
    pending.incrementAndGet();
    proposeOnce(ending, onDecided);
  }

  private void proposeOnce(Proposal ending, Runnable onDecided) {
    proposer
        .propose(List.of(ending))
        .whenComplete(
            (results, failure) -> {
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

  /** Returns the number of settlements and releases without a decision. */
  int pending() {
    return pending.get();
  }
}
