package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/** Puts a job without a live attempt on hold. */
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
