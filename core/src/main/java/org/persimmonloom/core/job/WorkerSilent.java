package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Excludes a worker that does not respond from placement. Its leases are left to expire, because an
 * entry host that is cut off from the log may still be renewing them.
 *
 * @param boot boot number of the worker that stopped responding
 */
public record WorkerSilent(String worker, long boot) implements Proposal {
  public WorkerSilent {
    Objects.requireNonNull(worker, "worker");
  }
}
