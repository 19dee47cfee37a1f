package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.job.JobCancelled;
import org.persimmonloom.core.result.Failure;

/** {@code POST /jobs/{job}/cancel}: cancels one job. */
public final class JobCancelRoute implements OperatorRoute {
  private final ProposalRoutes proposals;

  @Inject
  public JobCancelRoute(ProposalRoutes proposals) {
    this.proposals = proposals;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/jobs/{job}/cancel";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return proposals.propose(
        new JobCancelled(
            request.parameter("job").orElse(""), request.parameter("operator").orElse("operator")));
  }
}
