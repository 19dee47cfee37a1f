package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * A returned host has stayed up for the length of its probation and is available again.
 *
 * @param stateOffset offset of the host's state that the proposer saw; the proposal is refused if
 *     the state has changed since
 */
public record ProbationOver(String host, long stateOffset) implements Proposal, Explainable {
  public ProbationOver {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
