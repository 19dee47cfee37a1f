package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Records the failure of an attempt, none of whose processes is still running. */
public record JobFailed(String job, int attempt, FailureCause cause, String detail)
    implements Proposal {
  public JobFailed {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(cause, "cause");
    Objects.requireNonNull(detail, "detail");
  }
}
