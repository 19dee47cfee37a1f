package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * A host is gone without having been drained, or is not back in time.
 *
 * @param stateOffset the state that the proposer saw
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
