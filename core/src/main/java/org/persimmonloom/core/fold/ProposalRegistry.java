package org.persimmonloom.core.fold;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Maps each type of proposal to its handler. Confined to the thread that folds. */
public final class ProposalRegistry {
  private final Map<Class<? extends Proposal>, ProposalHandler<Proposal>> handlers =
      new HashMap<>();

  /**
   * Registers the handler for one type of proposal.
   *
   * @throws IllegalStateException if a handler is already registered for the type
   */
  public <P extends Proposal> void register(Class<P> type, ProposalHandler<P> handler) {
    ProposalHandler<Proposal> previous =
        handlers.put(type, (proposal, position) -> handler.decide(type.cast(proposal), position));
    if (previous != null) {
      throw new IllegalStateException("handler already registered for " + type);
    }
  }

  Either<Failure, String> decide(Proposal proposal, Position position) {
    ProposalHandler<Proposal> handler = handlers.get(proposal.getClass());
    if (handler == null) {
      return Either.left(Failure.of(ResultCode.DECODE_FAILED, "no handler for " + proposal));
    }
    return handler.decide(proposal, position);
  }
}
