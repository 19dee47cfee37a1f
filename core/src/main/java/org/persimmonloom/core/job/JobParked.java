package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Puts a job without a live attempt on hold. */
public record JobParked(String job, String reason) implements Proposal {
  public JobParked {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(reason, "reason");
  }
}
