package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.result.Failure;

/** {@code POST /jobs}: submits the job in the JSON body. */
public final class JobSubmitRoute implements OperatorRoute {
  private final ProposalRoutes proposals;

  @Inject
  public JobSubmitRoute(ProposalRoutes proposals) {
    this.proposals = proposals;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/jobs";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return ProposalTypes.CODEC
        .fromJson(request.body(), JobSpec.class)
        .flatMap(spec -> proposals.propose(new JobSubmitted(spec)));
  }
}
