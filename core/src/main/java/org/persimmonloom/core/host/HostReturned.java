package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * A host that was down or lost is in the host list again. It gets no work until its probation ends.
 *
 * @param stateOffset offset of the host's state that the proposer saw; the proposal is refused if
 *     the state has changed since, so a delayed copy has no effect
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
