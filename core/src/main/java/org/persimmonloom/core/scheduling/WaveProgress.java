package org.persimmonloom.core.scheduling;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Recorded progress of a maintenance wave.
 *
 * @param number number of the wave
 * @param begun hosts whose maintenance has started, sorted
 * @param isComplete whether maintenance has started on every host of the wave that still exists
 */
public record WaveProgress(int number, TreeSet<String> begun, boolean isComplete) {
  /** The hosts may not be null. */
  public WaveProgress {
    Objects.requireNonNull(begun);
  }

  static WaveProgress none(int number) {
    return new WaveProgress(number, new TreeSet<>(), false);
  }

  WaveProgress with(Set<String> newlyBegun, boolean complete) {
    TreeSet<String> allBegun = new TreeSet<>(begun);
    allBegun.addAll(newlyBegun);
    return new WaveProgress(number, allBegun, complete);
  }
}
