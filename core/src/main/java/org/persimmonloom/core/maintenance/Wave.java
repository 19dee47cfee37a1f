package org.persimmonloom.core.maintenance;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A maintenance wave and how far it is. Immutable.
 *
 * @param offset where it was accepted
 * @param reason why it is in this status; empty if nothing is to be said
 * @param progress host to its progress; a closed wave keeps only the hosts that were not maintained
 * @param done number of hosts maintained
 */
public record Wave(
    MaintenanceRequested request,
    long offset,
    WaveStatus status,
    String reason,
    SortedMap<String, Progress> progress,
    int done) {
  /** What became of one host of a wave. */
  public enum Step {
    PENDING,
    IN_PROGRESS,
    DONE,
    SKIPPED
  }

  /**
   * The progress of one host.
   *
   * @param reason why the host was skipped or put back; may be empty
   */
  public record Progress(Step step, String reason) {
    static final Progress PENDING = new Progress(Step.PENDING, "");
  }

  public Wave {
    progress = Collections.unmodifiableSortedMap(new TreeMap<>(progress));
  }

  /** Returns the wave's name. */
  public String name() {
    return request.wave();
  }

  /** Returns how many of its hosts are at this step. */
  public int count(Step step) {
    if (step == Step.DONE) {
      return done;
    }
    return (int) progress.values().stream().filter(it -> it.step() == step).count();
  }

  Wave withStatus(WaveStatus next, String why) {
    return new Wave(request, offset, next, why, progress, done);
  }

  Wave withProgress(String host, Progress next) {
    SortedMap<String, Progress> changed = new TreeMap<>(progress);
    Progress before = changed.put(host, next);
    boolean isNewlyDone =
        next.step() == Step.DONE && (before == null || before.step() != Step.DONE);
    return new Wave(request, offset, status, reason, changed, done + (isNewlyDone ? 1 : 0));
  }

  /** Returns this wave closed: what is pending is skipped, and only skipped hosts are kept. */
  Wave closed(WaveStatus next, String why) {
    SortedMap<String, Progress> kept = new TreeMap<>();
    progress.forEach(
        (host, step) -> {
          if (step.step() == Step.PENDING) {
            kept.put(host, new Progress(Step.SKIPPED, why));
          } else if (step.step() != Step.DONE) {
            kept.put(host, step);
          }
        });
    return new Wave(request, offset, next, why, kept, done);
  }
}
