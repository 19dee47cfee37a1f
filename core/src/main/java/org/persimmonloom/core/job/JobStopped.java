package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Records that the worker confirmed the end of an attempt whose stop was requested. */
public record JobStopped(String job, int attempt) implements Proposal {
  public JobStopped {
    Objects.requireNonNull(job, "job");
  }
}
