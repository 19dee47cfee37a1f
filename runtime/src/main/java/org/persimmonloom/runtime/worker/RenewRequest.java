package org.persimmonloom.runtime.worker;

import java.util.List;
import org.persimmonloom.core.job.WorkerRenewed;

/**
 * Body of {@code POST /tasks/renew}, which renews several leases of one worker.
 *
 * @param clockMillis worker clock reading at which the leases begin; a renewal never shortens a
 *     lease
 */
public record RenewRequest(
    long boot, long clockMillis, long leaseMillis, List<WorkerRenewed.Ref> attempts) {
  public RenewRequest {
    attempts = List.copyOf(attempts);
  }
}
