package org.persimmonloom.core.host;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * The author sends nothing to the host any more and has nothing in progress there. Counts for the
 * author's incarnation only.
 *
 * @param drainOffset the drain that it was checked for
 */
public record DrainConfirmed(String host, long drainOffset) implements Proposal {
  public DrainConfirmed {
    Objects.requireNonNull(host, "host");
  }
}
