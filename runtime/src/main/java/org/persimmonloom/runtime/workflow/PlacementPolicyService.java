package org.persimmonloom.runtime.workflow;

import java.util.Map;
import java.util.Optional;
import org.persimmonloom.core.scheduling.PermitRequest;

/** Service that permits workers to run a step. Calls block up to a bounded time. */
public interface PlacementPolicyService {
  /**
   * Returns the permits of the workers that may run the step, by worker; empty if the request
   * failed.
   */
  Optional<Map<String, String>> requestPermits(PermitRequest request);
}
