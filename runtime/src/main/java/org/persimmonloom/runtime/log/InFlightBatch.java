package org.persimmonloom.runtime.log;

import java.util.List;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.ProposalResult;

/**
 * The batch that is appended until the own fold shows it.
 *
 * @param bytes the encoded batch, the same for each append
 * @param entries what the batch was made of, after the proposals of the committer itself
 * @param isRepeated whether it was appended before
 */
record InFlightBatch(
    Batch batch, byte[] bytes, List<ProposalQueue.Entry> entries, boolean isRepeated) {
  InFlightBatch repeated() {
    return new InFlightBatch(batch, bytes, entries, true);
  }

  /** Returns whether a folded batch is this one or a copy of it. */
  boolean isFor(Batch other) {
    return batch.author().equals(other.author())
        && batch.incarnation() == other.incarnation()
        && batch.sequence() == other.sequence();
  }

  /** Hands each entry its verdicts. */
  void complete(List<ProposalResult> verdicts) {
    int at = batch.proposals().size();
    for (ProposalQueue.Entry entry : entries) {
      at -= entry.proposals().size();
    }
    for (ProposalQueue.Entry entry : entries) {
      int end = at + entry.proposals().size();
      entry.future().complete(List.copyOf(verdicts.subList(at, end)));
      at = end;
    }
  }
}
