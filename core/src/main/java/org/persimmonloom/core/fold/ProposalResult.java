package org.persimmonloom.core.fold;

import org.persimmonloom.core.result.ResultCode;

/**
 * What the fold decided about one proposal.
 *
 * @param position where it was decided; names the author, so that the author finds its own results
 * @param proposal the proposal
 * @param code {@link ResultCode#OK} if the proposal took effect, otherwise why it did not
 * @param detail the figures on which it was decided
 */
public record ProposalResult(Position position, Proposal proposal, ResultCode code, String detail) {
  /** Returns whether the proposal took effect. */
  public boolean isAccepted() {
    return code == ResultCode.OK;
  }
}
