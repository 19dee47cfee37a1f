package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.List;
import javax.inject.Inject;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.ReplicatedState;

/** {@code GET /jobs?state=&team=&limit=}: the jobs by identifier. */
public final class JobListRoute implements OperatorRoute {
  private static final int MAX_LIMIT = 1_000;

  private final ReplicatedState state;

  @Inject
  public JobListRoute(ReplicatedState state) {
    this.state = state;
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/jobs";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    String limit = request.parameter("limit").orElse("200");
    if (!limit.matches("\\d{1,4}") || Integer.parseInt(limit) > MAX_LIMIT) {
      return Either.left(Failure.of(ResultCode.USAGE, "limit must be from 0 to " + MAX_LIMIT));
    }
    return Either.right(list(request, Integer.parseInt(limit)));
  }

  private List<JobSummary> list(OperatorRequest request, int limit) {
    String wantedState = request.parameter("state").orElse("");
    String team = request.parameter("team").orElse("");
    return state.read(
        fleet ->
            fleet.jobs().all().stream()
                .filter(job -> team.isEmpty() || job.spec().team().equals(team))
                .filter(job -> wantedState.isEmpty() || job.state().name().equals(wantedState))
                .limit(limit)
                .map(JobSummary::of)
                .toList());
  }
}
