package org.persimmonloom.core.scheduling;

import java.util.Set;
import org.persimmonloom.core.workflow.Resources;

/**
 * A worker host as the platform lists it. Immutable.
 *
 * @param id identifier that stays with the host across moves and maintenance
 * @param pool service whose pool the host is in
 * @param state what it is doing
 * @param labels its kind and its rack
 * @param capacity its capacity
 * @param worker identifier of its present worker process; empty if there is none
 */
public record MachineFacts(
    String id, String pool, State state, Set<String> labels, Resources capacity, String worker) {
  /** What a host is doing. */
  public enum State {
    UP,
    MOVING,
    IN_MAINTENANCE,
    DOWN
  }

  /** Copies the set. */
  public MachineFacts {
    labels = Set.copyOf(labels);
  }
}
