package org.persimmonloom.core.host;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * The author has stopped sending work to the host and has no work in progress there. The
 * confirmation is valid for the author's current incarnation only.
 *
 * @param drainOffset offset of the record that started the confirmed drain
 */
public record DrainConfirmed(String host, long drainOffset) implements Proposal {
  public DrainConfirmed {
    Objects.requireNonNull(host, "host");
  }
}
