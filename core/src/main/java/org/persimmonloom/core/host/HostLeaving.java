package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * The platform names a host as leaving. It takes no new work from here on; no budget is asked,
 * since the platform takes the host in any case.
 *
 * @param stateOffset the state that the proposer saw
 */
public record HostLeaving(String host, long stateOffset) implements Proposal, Explainable {
  public HostLeaving {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
