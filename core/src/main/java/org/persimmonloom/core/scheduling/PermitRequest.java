package org.persimmonloom.core.scheduling;

import java.util.List;

/**
 * A request to the placement policy service: which workers may run a step. Immutable.
 *
 * @param step step to place
 * @param workers candidate workers
 * @param validMillis how long a granted permit is valid
 */
public record PermitRequest(StepId step, List<WorkerFacts> workers, long validMillis) {
  /** Copies the workers. */
  public PermitRequest {
    workers = List.copyOf(workers);
  }
}
