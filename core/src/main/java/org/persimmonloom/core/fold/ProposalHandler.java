package org.persimmonloom.core.fold;

import io.vavr.control.Either;
import org.persimmonloom.core.result.Failure;

/**
 * Decides the proposals of one type and applies those that it accepts. A refused proposal leaves
 * the state unchanged. The decision depends only on the state, the proposal and the position, so it
 * is the same on every entry host.
 *
 * @param <P> the type of the proposals
 */
@FunctionalInterface
public interface ProposalHandler<P extends Proposal> {
  /** Returns the explanation of an accepted proposal, or the reason for a refusal. */
  Either<Failure, String> decide(P proposal, Position position);
}
