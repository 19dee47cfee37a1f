package org.persimmonloom.runtime.log;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;

/** Brings proposals into the log. Safe for any thread; never blocks. */
public interface Proposer {
  /**
   * Queues proposals, which are decided in the order of the list within one batch.
   *
   * @return completes with one verdict for each proposal once they are folded here. Completes
   *     exceptionally with {@link ProposalException} if they are certain never to be folded, and
   *     with {@link UndecidedProposalException} if this process can't learn it any more. A caller
   *     that stops waiting knows nothing: the proposals may be folded later. Cancelling the future
   *     withdraws proposals that are not in a batch yet.
   */
  CompletableFuture<List<ProposalResult>> propose(List<? extends Proposal> proposals);
}
