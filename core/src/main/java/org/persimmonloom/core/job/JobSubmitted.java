package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Submits a job; a repeated submit with equal content has no second effect. */
public record JobSubmitted(JobSpec spec) implements Proposal {
  public JobSubmitted {
    Objects.requireNonNull(spec, "spec");
  }
}
