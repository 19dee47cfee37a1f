package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Stops a running attempt at a checkpoint to free capacity for an urgent job.
 *
 * @param forJob the urgent job, which must be queued
 */
public record JobPreempted(String job, int attempt, String forJob)
    implements Proposal, Explainable {
  public JobPreempted {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(forJob, "forJob");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.job(job), Subject.job(forJob));
  }
}
