package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Adds a host of the host list to its home pool, or updates the facts of a known host, such as the
 * address after a replacement. A known host keeps its pool, because the fold and not the list
 * determines pool membership.
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
