package org.persimmonloom.core.scheduling;

import java.util.Set;
import org.persimmonloom.core.workflow.Resources;

/**
 * A worker host as reported by the platform. Immutable.
 *
 * @param id identifier of the host, which stays the same across moves and maintenance
 * @param pool service whose pool the host is in
 * @param state operational state
 * @param labels kind and rack of the host
 * @param capacity capacity of the host
 * @param worker identifier of the current worker process; empty if there is none
 */
public record MachineFacts(
    String id, String pool, State state, Set<String> labels, Resources capacity, String worker) {
  /** Operational state of a host. */
  public enum State {
    UP,
    MOVING,
    IN_MAINTENANCE,
    DOWN
  }

  /** Copies the labels. */
  public MachineFacts {
    labels = Set.copyOf(labels);
  }
}
