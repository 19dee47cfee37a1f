package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.Optional;
import javax.inject.Inject;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.worker.PlacementTimer;

/** {@code GET /jobs/{job}}: everything known of one job. */
public final class JobShowRoute implements OperatorRoute {
  private final ReplicatedState state;
  private final PlacementTimer placements;

  @Inject
  public JobShowRoute(ReplicatedState state, PlacementTimer placements) {
    this.state = state;
    this.placements = placements;
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/jobs/{job}";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    String name = request.parameter("job").orElse("");
    Optional<Job> job = state.read(fleet -> fleet.jobs().find(name));
    if (job.isEmpty()) {
      return Either.left(Failure.of(ResultCode.JOB_UNKNOWN, name));
    }
    return Either.right(new JobView(job.get(), placements.waiting().getOrDefault(name, "")));
  }
}
