package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Reserves room at a worker for the next attempt of a job.
 *
 * @param attempt one above the last attempt of the job
 * @param size what to reserve; may differ from the declared size
 * @param plannedOffset first offset that the plan did not know
 */
public record JobPlaced(String job, int attempt, String worker, JobSize size, long plannedOffset)
    implements Proposal {
  public JobPlaced {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(worker, "worker");
    Objects.requireNonNull(size, "size");
  }
}
