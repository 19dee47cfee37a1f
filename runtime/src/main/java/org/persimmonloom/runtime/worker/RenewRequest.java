package org.persimmonloom.runtime.worker;

import java.util.List;
import org.persimmonloom.core.job.WorkerRenewed;

/**
 * Body of {@code POST /tasks/renew}: the leases of one worker in one call.
 *
 * @param clockMillis reading of the worker's clock from which the leases count; a renewal never
 *     shortens a lease
 */
public record RenewRequest(
    long boot, long clockMillis, long leaseMillis, List<WorkerRenewed.Ref> attempts) {
  public RenewRequest {
    attempts = List.copyOf(attempts);
  }
}
