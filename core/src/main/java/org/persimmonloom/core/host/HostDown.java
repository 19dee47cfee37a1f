package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Marks a drained host as down for its wave. The platform is requested to reboot the host only
 * after this record was folded.
 */
public record HostDown(String host, long drainOffset) implements Proposal, Explainable {
  public HostDown {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host));
  }
}
