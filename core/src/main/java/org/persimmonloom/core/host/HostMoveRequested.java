package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Requests to move a host to another pool. If accepted, the host is drained; it stays in its pool
 * until {@link HostMoved} is folded.
 *
 * @param basedOnOffset offset of the last record that the plan took into account
 * @param reason text that is shown to operators
 */
public record HostMoveRequested(String host, String targetPool, long basedOnOffset, String reason)
    implements Proposal, Explainable {
  public HostMoveRequested {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host), Subject.pool(targetPool));
  }
}
