package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Stops a running attempt at a checkpoint to make room for an urgent job.
 *
 * @param forJob the urgent job, which must be queued
 */
public record JobPreempted(String job, int attempt, String forJob) implements Proposal {
  public JobPreempted {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(forJob, "forJob");
  }
}
