package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Asks to move a host to another pool. Acceptance drains the host; it stays in its pool until
 * {@link HostMoved}.
 *
 * @param basedOnOffset offset of the last record that the plan took into account
 * @param reason shown to operators
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
