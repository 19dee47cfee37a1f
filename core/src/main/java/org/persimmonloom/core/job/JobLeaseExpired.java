package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Ends an attempt whose lease has expired at the worker.
 *
 * @param isConfirmed whether the worker itself reported that the lease expired and the task ended;
 *     otherwise the record is accepted only {@link LeaseRules#EXPIRY_MARGIN_MILLIS} after the end
 *     of the fold's lease
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
