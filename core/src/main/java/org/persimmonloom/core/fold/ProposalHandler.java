package org.persimmonloom.core.fold;

import io.vavr.control.Either;
import org.persimmonloom.core.result.Failure;

/**
 * Decides one type of proposal and, if it accepts, changes the state. A refused proposal leaves the
 * state as it was. The decision depends only on the state, the proposal and the position, so that
 * every entry host reaches the same one.
 *
 * @param <P> the type of proposal
 */
@FunctionalInterface
public interface ProposalHandler<P extends Proposal> {
  /** Returns the explanation of an accepted proposal, or why it is refused. */
  Either<Failure, String> decide(P proposal, Position position);
}
