package org.persimmonloom.runtime.peer;

import java.util.Optional;
import org.persimmonloom.core.result.Failure;

/**
 * Whether this entry host may accept requests on the strength of its copy of the fleet state. Safe
 * for any thread. The answer is computed from the clock at the call, so it is right in the first
 * instant after a pause of the process.
 */
@FunctionalInterface
public interface Currency {
  /** Returns why a new request must be refused as "not run", or empty. */
  Optional<Failure> reasonNotCurrent();

  /** Returns whether new requests may be accepted. */
  default boolean isCurrent() {
    return reasonNotCurrent().isEmpty();
  }
}
