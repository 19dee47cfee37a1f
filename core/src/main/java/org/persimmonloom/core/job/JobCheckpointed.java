package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/** Records the name of a checkpoint from which a later attempt can resume. */
public record JobCheckpointed(String job, int attempt, String checkpoint) implements Proposal {
  public JobCheckpointed {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(checkpoint, "checkpoint");
  }
}
