package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Puts a drained host into the target pool of its move. No other record changes the pool of a host.
 *
 * @param drainOffset offset of the accepted {@link HostMoveRequested}
 */
public record HostMoved(String host, long drainOffset) implements Proposal, Explainable {
  public HostMoved {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
