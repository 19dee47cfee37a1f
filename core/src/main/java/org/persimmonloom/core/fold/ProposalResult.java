package org.persimmonloom.core.fold;

import org.persimmonloom.core.result.ResultCode;

/**
 * The decision of the fold on one proposal.
 *
 * @param position position at which the proposal was decided; the author recognises its own results
 *     by the author and incarnation in it
 * @param proposal the decided proposal
 * @param code {@link ResultCode#OK} if the proposal took effect, otherwise the reason for the
 *     refusal
 * @param detail the figures on which the decision is based
 */
public record ProposalResult(Position position, Proposal proposal, ResultCode code, String detail) {
  /** Returns whether the proposal took effect. */
  public boolean isAccepted() {
    return code == ResultCode.OK;
  }
}
