package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Records the success of an attempt.
 *
 * @param runMillis run time in milliseconds
 * @param usedCores processors used, rounded up
 * @param peakMemoryMb highest memory observed, in MiB
 */
public record JobFinished(
    String job, int attempt, long runMillis, long usedCores, long peakMemoryMb)
    implements Proposal {
  public JobFinished {
    Objects.requireNonNull(job, "job");
  }
}
