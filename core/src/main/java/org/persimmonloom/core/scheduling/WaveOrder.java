package org.persimmonloom.core.scheduling;

import java.util.Set;

/**
 * An operator's request to maintain hosts. Immutable.
 *
 * @param number number of the wave
 * @param machines hosts that are due
 * @param durationMillis time in which they are to be maintained
 * @param maxAtOnce most hosts of the wave that may be down for maintenance at once
 */
public record WaveOrder(int number, Set<String> machines, long durationMillis, int maxAtOnce) {
  /** Copies the set. */
  public WaveOrder {
    machines = Set.copyOf(machines);
  }
}
