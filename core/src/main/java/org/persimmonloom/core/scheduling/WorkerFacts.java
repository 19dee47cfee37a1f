package org.persimmonloom.core.scheduling;

import java.util.Set;
import org.persimmonloom.core.workflow.Resources;

/**
 * What a worker publishes of itself. Immutable.
 *
 * @param id identifier of the worker's process
 * @param address IP address and port
 * @param service service whose pool it is in
 * @param dataCentre data centre
 * @param draining whether it is about to leave
 * @param capacity capacity that tasks may reserve
 * @param labels its kind and its rack
 * @param bornMillis Unix time of its start, which tells lives under one identifier apart
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
  /** Copies the set. */
  public WorkerFacts {
    labels = Set.copyOf(labels);
  }
}
