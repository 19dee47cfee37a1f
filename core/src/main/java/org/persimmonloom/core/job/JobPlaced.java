package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Places the next attempt of a job and reserves its resources at a worker.
 *
 * @param attempt number of the last attempt of the job plus one
 * @param size resources to reserve; may differ from the declared size
 * @param plannedOffset first log offset that the plan did not take into account
 */
public record JobPlaced(String job, int attempt, String worker, JobSize size, long plannedOffset)
    implements Proposal {
  public JobPlaced {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(worker, "worker");
    Objects.requireNonNull(size, "size");
  }
}
