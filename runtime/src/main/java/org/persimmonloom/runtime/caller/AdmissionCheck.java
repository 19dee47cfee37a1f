package org.persimmonloom.runtime.caller;

import java.util.Optional;
import org.persimmonloom.core.result.Failure;

/** Decides whether this host accepts new requests. Safe for any thread; must not block. */
@FunctionalInterface
public interface AdmissionCheck {
  /** Returns the reason for refusing new requests as not run, or empty if they are accepted. */
  Optional<Failure> reasonRefused();
}
