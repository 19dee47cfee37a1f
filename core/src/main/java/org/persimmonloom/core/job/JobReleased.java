package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Queues a parked job again and resets its failure counters. */
public record JobReleased(String job, String operator) implements Proposal {
  public JobReleased {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(operator, "operator");
  }
}
