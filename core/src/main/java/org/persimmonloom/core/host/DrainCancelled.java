package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/** Puts a host that is draining or drained back into service. */
public record DrainCancelled(String host, long drainOffset, String reason)
    implements Proposal, Explainable {
  public DrainCancelled {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
