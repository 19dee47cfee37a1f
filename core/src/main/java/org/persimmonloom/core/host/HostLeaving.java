package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * The platform lists a host as leaving. The host gets no new work after this record. Budgets are
 * not checked, since the platform takes the host away in any case.
 *
 * @param stateOffset offset of the host's state that the proposer saw; the proposal is refused if
 *     the state has changed since
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
