package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Requests to drain a host for a wave. Accepting the request also grants the drain under the
 * availability budgets; there is no separate record for the grant.
 */
public record DrainRequested(String host, String wave) implements Proposal, Explainable {
  public DrainRequested {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host), Subject.wave(wave));
  }
}
