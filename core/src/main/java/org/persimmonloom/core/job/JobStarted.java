package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Records that the worker confirmed the start of an attempt. */
public record JobStarted(String job, int attempt) implements Proposal {
  public JobStarted {
    Objects.requireNonNull(job, "job");
  }
}
