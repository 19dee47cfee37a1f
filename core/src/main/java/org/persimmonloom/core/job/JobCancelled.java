package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Cancels a job; a live attempt keeps its reserved resources until its end is recorded. */
public record JobCancelled(String job, String operator) implements Proposal {
  public JobCancelled {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(operator, "operator");
  }
}
