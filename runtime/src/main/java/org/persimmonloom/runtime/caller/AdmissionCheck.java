package org.persimmonloom.runtime.caller;

import java.util.Optional;
import org.persimmonloom.core.result.Failure;

/** Tells whether this host may take new requests. Safe for any thread; must not block. */
@FunctionalInterface
public interface AdmissionCheck {
  /** Returns why new requests are refused as not run, or empty. */
  Optional<Failure> reasonRefused();
}
