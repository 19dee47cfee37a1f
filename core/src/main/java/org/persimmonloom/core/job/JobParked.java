package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/** Parks a queued job: it is not placed again until an operator releases it. */
public record JobParked(String job, String reason) implements Proposal, Explainable {
  public JobParked {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(reason, "reason");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.job(job));
  }
}
