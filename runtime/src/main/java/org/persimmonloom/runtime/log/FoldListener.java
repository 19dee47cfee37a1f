package org.persimmonloom.runtime.log;

import java.util.List;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.ProposalResult;

/** Told of each folded batch, in order, on the thread that folds. Must not block. */
@FunctionalInterface
public interface FoldListener {
  /**
   * Called after a batch was folded.
   *
   * @param verdicts one for each proposal; empty if the batch was dropped as repeated or stale
   */
  void folded(long offset, Batch batch, List<ProposalResult> verdicts);

  /** Called after the state was replaced by a snapshot: the batches in between were not seen. */
  default void restored() {}
}
