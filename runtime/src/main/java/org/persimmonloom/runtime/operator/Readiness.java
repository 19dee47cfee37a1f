package org.persimmonloom.runtime.operator;

import java.util.Optional;

/** Tells whether this entry host should get requests from the balancer. */
@FunctionalInterface
public interface Readiness {
  /** Returns why this host is not ready, or empty. */
  Optional<String> reasonNotReady();
}
