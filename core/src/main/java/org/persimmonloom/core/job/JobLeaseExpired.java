package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Gives up an attempt whose lease is over at the worker.
 *
 * @param isConfirmed whether the worker itself reported that the lease ran out and the task ended;
 *     otherwise the fold waits for {@link LeaseRules#EXPIRY_MARGIN_MILLIS}
 */
public record JobLeaseExpired(String job, int attempt, boolean isConfirmed)
    implements Proposal, Explainable {
  public JobLeaseExpired {
    Objects.requireNonNull(job, "job");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.job(job));
  }
}
