package org.persimmonloom.core.scheduling;

import java.util.Set;
import java.util.TreeSet;

/**
 * What is recorded of a wave.
 *
 * @param number number of the wave
 * @param begun hosts whose maintenance has begun, sorted
 * @param isComplete whether every host of the wave that stays has begun
 */
public record WaveProgress(int number, TreeSet<String> begun, boolean isComplete) {
  static WaveProgress none(int number) {
    return new WaveProgress(number, new TreeSet<>(), false);
  }

  WaveProgress with(Set<String> newlyBegun, boolean complete) {
    TreeSet<String> all = new TreeSet<>(begun);
    all.addAll(newlyBegun);
    return new WaveProgress(number, all, complete);
  }
}
