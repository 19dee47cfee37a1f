package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Submits a job; a repeated submission with equal content has no effect. */
public record JobSubmitted(JobSpec spec) implements Proposal {
  public JobSubmitted {
    Objects.requireNonNull(spec, "spec");
  }
}
