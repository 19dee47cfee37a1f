package org.persimmonloom.core.scheduling;

import java.util.Objects;
import java.util.Set;
import org.persimmonloom.core.workflow.Resources;

/**
 * Attributes that a worker publishes. Immutable.
 *
 * @param id identifier of the worker
 * @param address IP address and port of the worker
 * @param service service whose pool the worker belongs to
 * @param dataCentre data centre of the worker
 * @param draining whether the worker is draining, that is, about to leave
 * @param capacity capacity that tasks may reserve
 * @param labels kind and rack of the worker
 * @param bornMillis Unix time at which the worker process started, which distinguishes successive
 *     processes with the same identifier
 */
public record WorkerFacts(
    String id,
    String address,
    String service,
    String dataCentre,
    boolean draining,
    Resources capacity,
    Set<String> labels,
    long bornMillis) {
  /** Copies the labels; no reference may be null. */
  public WorkerFacts {
    Objects.requireNonNull(id);
    Objects.requireNonNull(address);
    Objects.requireNonNull(service);
    Objects.requireNonNull(dataCentre);
    Objects.requireNonNull(capacity);
    labels = Set.copyOf(labels);
  }
}
