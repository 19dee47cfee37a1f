package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Takes a worker that does not answer out of placement. Its leases run out as they stand, because
 * an entry host that is cut off from the log may still be renewing them.
 *
 * @param boot the boot that fell silent
 */
public record WorkerSilent(String worker, long boot) implements Proposal {
  public WorkerSilent {
    Objects.requireNonNull(worker, "worker");
  }
}
