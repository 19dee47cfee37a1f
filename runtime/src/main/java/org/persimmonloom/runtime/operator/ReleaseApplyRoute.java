package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.log.ReplicatedState;

/** {@code POST /release}: applies the release note in the body. */
public final class ReleaseApplyRoute implements OperatorRoute {
  private final ProposalRoutes proposals;
  private final ReplicatedState state;

  @Inject
  public ReleaseApplyRoute(ProposalRoutes proposals, ReplicatedState state) {
    this.proposals = proposals;
    this.state = state;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/release";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    long basedOn =
        request
            .parameter("based_on")
            .map(Long::valueOf)
            .orElseGet(() -> state.read(fleet -> fleet.releases().current().number()));
    String operator = request.parameter("operator").orElse("operator");
    return proposals.propose(new ReleaseProposed(operator, request.body(), basedOn));
  }
}
