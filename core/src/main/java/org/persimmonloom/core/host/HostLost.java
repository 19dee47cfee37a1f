package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * A host disappeared without having been drained, or did not return before its deadline.
 *
 * @param stateOffset offset of the host's state that the proposer saw; the proposal is refused if
 *     the state has changed since
 */
public record HostLost(String host, long stateOffset, String reason)
    implements Proposal, Explainable {
  public HostLost {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
