package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.job.JobReleased;
import org.persimmonloom.core.result.Failure;

/** {@code POST /jobs/{job}/release}: queues a parked job again. */
public final class JobReleaseRoute implements OperatorRoute {
  private final ProposalRoutes proposals;

  @Inject
  public JobReleaseRoute(ProposalRoutes proposals) {
    this.proposals = proposals;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/jobs/{job}/release";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return proposals.propose(
        new JobReleased(
            request.parameter("job").orElse(""), request.parameter("operator").orElse("operator")));
  }
}
