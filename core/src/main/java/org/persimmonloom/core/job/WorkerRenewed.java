package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Registers a worker's boot and extends the fold's leases of all attempts that the worker runs. A
 * later boot ends the attempts of earlier boots.
 *
 * @param boot boot number; increases with each boot of the worker
 * @param observedOffset first log offset that the author had not folded when it requested the
 *     worker's report
 * @param attempts the running attempts that the worker reported
 */
public record WorkerRenewed(String worker, long boot, long observedOffset, List<Ref> attempts)
    implements Proposal {
  public WorkerRenewed {
    Objects.requireNonNull(worker, "worker");
    attempts = List.copyOf(attempts);
  }

  /** A reference to an attempt of a job. */
  public record Ref(String job, int attempt) {}
}
