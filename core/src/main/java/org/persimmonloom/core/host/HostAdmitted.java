package org.persimmonloom.core.host;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Brings a host of the host list into its home pool, or updates its address after a replacement. A
 * known host keeps its pool, because membership is owned by the fold.
 */
public record HostAdmitted(HostFacts facts) implements Proposal {
  public HostAdmitted {
    Objects.requireNonNull(facts, "facts");
  }
}
