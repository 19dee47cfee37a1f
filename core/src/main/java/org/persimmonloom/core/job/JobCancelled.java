package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Cancels a job; a live attempt keeps its room until it is known to have ended. */
public record JobCancelled(String job, String operator) implements Proposal {
  public JobCancelled {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(operator, "operator");
  }
}
