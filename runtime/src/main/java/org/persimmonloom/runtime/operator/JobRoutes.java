package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import javax.inject.Inject;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobCancelled;
import org.persimmonloom.core.job.JobReleased;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.worker.PlacementController;

/** The paths of jobs: submit, list, show, cancel and release. Safe for any thread. */
public final class JobRoutes {
  private static final int MAX_LIMIT = 1_000;

  private final ProposalRoutes proposals;
  private final ReplicatedState state;
  private final PlacementController placements;

  @Inject
  public JobRoutes(
      ProposalRoutes proposals, ReplicatedState state, PlacementController placements) {
    this.proposals = proposals;
    this.state = state;
    this.placements = placements;
  }

  /** Returns the routes. */
  public Set<OperatorRoute> all() {
    return Set.of(
        new FunctionRoute("POST", "/jobs", this::submit),
        new FunctionRoute("GET", "/jobs", this::list),
        new FunctionRoute("GET", "/jobs/{job}", this::show),
        new FunctionRoute("POST", "/jobs/{job}/cancel", this::cancel),
        new FunctionRoute("POST", "/jobs/{job}/release", this::release));
  }

  private Either<Failure, ?> submit(OperatorRequest request) {
    return ProposalTypes.CODEC
        .fromJson(request.body(), JobSpec.class)
        .flatMap(spec -> proposals.propose(new JobSubmitted(spec)));
  }

  private Either<Failure, ?> list(OperatorRequest request) {
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
            fleet.jobs().jobs().stream()
                .filter(job -> team.isEmpty() || job.spec().team().equals(team))
                .filter(job -> wantedState.isEmpty() || job.state().name().equals(wantedState))
                .limit(limit)
                .map(JobSummary::of)
                .toList());
  }

  private Either<Failure, ?> show(OperatorRequest request) {
    String name = job(request);
    Optional<Job> job = state.read(fleet -> fleet.jobs().find(name));
    if (job.isEmpty()) {
      return Either.left(Failure.of(ResultCode.JOB_UNKNOWN, name));
    }
    return Either.right(new JobView(job.get(), placements.waitingReasons().getOrDefault(name, "")));
  }

  private Either<Failure, ?> cancel(OperatorRequest request) {
    return proposals.propose(new JobCancelled(job(request), operator(request)));
  }

  private Either<Failure, ?> release(OperatorRequest request) {
    return proposals.propose(new JobReleased(job(request), operator(request)));
  }

  private static String job(OperatorRequest request) {
    return request.parameter("job").orElse("");
  }

  private static String operator(OperatorRequest request) {
    return request.parameter("operator").orElse("operator");
  }
}
