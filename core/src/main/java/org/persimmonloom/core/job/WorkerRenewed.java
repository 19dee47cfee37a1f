package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Registers a worker's boot and extends the fold's lease of the attempts that it runs; one record
 * for all of them. A later boot ends the attempts of the former one.
 *
 * @param boot rises with each boot of the worker
 * @param observedOffset first offset that was not folded when the worker was asked
 * @param attempts the attempts that the worker reported
 */
public record WorkerRenewed(String worker, long boot, long observedOffset, List<Ref> attempts)
    implements Proposal {
  public WorkerRenewed {
    Objects.requireNonNull(worker, "worker");
    attempts = List.copyOf(attempts);
  }

  /** One attempt of a job. */
  public record Ref(String job, int attempt) {}
}
