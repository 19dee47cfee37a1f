package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Brings a host of the host list into its home pool, or updates its address after a replacement. A
 * known host keeps its pool, because membership is owned by the fold.
 */
public record HostAdmitted(HostFacts facts) implements Proposal, Explainable {
  public HostAdmitted {
    Objects.requireNonNull(facts, "facts");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(facts.name()));
  }
}
