package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Stops a repeatable attempt at a checkpoint because its worker is being drained. Unlike {@link
 * JobPreempted}, it does not count against the limit of preemptions.
 *
 * @param drainOffset log offset of the drain for which the eviction was decided
 */
public record JobEvicted(String job, int attempt, long drainOffset)
    implements Proposal, Explainable {
  public JobEvicted {
    Objects.requireNonNull(job, "job");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.job(job));
  }
}
