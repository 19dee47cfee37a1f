package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * The host list shows a host again that was down or lost. It takes no work until its probation
 * ends.
 *
 * @param stateOffset the state that the proposer saw, so that a delayed copy has no effect
 */
public record HostReturned(String host, long stateOffset) implements Proposal, Explainable {
  public HostReturned {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
