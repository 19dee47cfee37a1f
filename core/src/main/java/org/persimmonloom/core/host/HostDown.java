package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * A drained host goes down for its wave. Only after this record is folded is the platform told to
 * reboot it.
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
