package org.persimmonloom.core.scheduling;

import java.util.Set;

/**
 * An operator's request for a maintenance wave. Immutable.
 *
 * @param number number of the wave
 * @param machines hosts to maintain
 * @param durationMillis time within which all hosts are to be maintained
 * @param maxAtOnce maximum number of hosts of the wave that may be down at the same time
 */
public record WaveOrder(int number, Set<String> machines, long durationMillis, int maxAtOnce) {
  /** Copies the hosts. */
  public WaveOrder {
    machines = Set.copyOf(machines);
  }
}
