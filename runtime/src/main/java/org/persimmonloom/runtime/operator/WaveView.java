package org.persimmonloom.runtime.operator;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.persimmonloom.core.explain.Decision;
import org.persimmonloom.core.maintenance.Wave;
import org.persimmonloom.core.maintenance.WaveStatus;

/**
 * A wave as operators see it. Immutable.
 *
 * @param reason why it is paused, incomplete or cancelled; may be empty
 * @param inProgress hosts that are out for the wave
 * @param skipped hosts that were not maintained, with the reason
 */
public record WaveView(
    String wave,
    WaveStatus status,
    String reason,
    String operator,
    long windowStartMillis,
    long windowEndMillis,
    int pending,
    int done,
    List<String> inProgress,
    SortedMap<String, String> skipped) {
  /** All waves that are kept, and the alerts that operators should look at. */
  public record Overview(List<WaveView> waves, List<Decision> alerts) {}

  static WaveView of(Wave wave) {
    List<String> inProgress =
        wave.progress().entrySet().stream()
            .filter(entry -> entry.getValue().step() == Wave.Step.IN_PROGRESS)
            .map(entry -> entry.getKey())
            .toList();
    SortedMap<String, String> skipped = new TreeMap<>();
    wave.progress()
        .forEach(
            (host, progress) -> {
              if (progress.step() == Wave.Step.SKIPPED) {
                skipped.put(host, progress.reason());
              }
            });
    return new WaveView(
        wave.name(),
        wave.status(),
        wave.reason(),
        wave.request().operator(),
        wave.request().windowStartMillis(),
        wave.request().windowEndMillis(),
        wave.count(Wave.Step.PENDING),
        wave.count(Wave.Step.DONE),
        inProgress,
        skipped);
  }
}
