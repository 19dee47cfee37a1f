package org.persimmonloom.core.maintenance;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A maintenance wave and its progress. Immutable.
 *
 * @param offset log offset at which the wave was accepted
 * @param reason why the wave is in this status; may be empty
 * @param progress progress by host; a closed wave keeps only the hosts that were not maintained
 * @param done number of hosts maintained so far
 */
public record Wave(
    MaintenanceRequested request,
    long offset,
    WaveStatus status,
    String reason,
    SortedMap<String, Progress> progress,
    int done) {
  /** The step of one host in a wave. */
  public enum Step {
    PENDING,
    IN_PROGRESS,
    DONE,
    SKIPPED
  }

  /**
   * The progress of one host.
   *
   * @param reason why the host was skipped or returned to pending; may be empty
   */
  public record Progress(Step step, String reason) {
    static final Progress PENDING = new Progress(Step.PENDING, "");
  }

  public Wave {
    progress = Collections.unmodifiableSortedMap(new TreeMap<>(progress));
  }

  /** Returns the name of the wave. */
  public String name() {
    return request.wave();
  }

  /** Returns how many hosts of the wave are at this step. */
  public int count(Step step) {
    if (step == Step.DONE) {
      return done;
    }
    return (int) progress.values().stream().filter(host -> host.step() == step).count();
  }

  Wave withStatus(WaveStatus next, String newReason) {
    return new Wave(request, offset, next, newReason, progress, done);
  }

  Wave withProgress(String host, Progress next) {
    SortedMap<String, Progress> changed = new TreeMap<>(progress);
    Progress previous = changed.put(host, next);
    boolean isNewlyDone =
        next.step() == Step.DONE && (previous == null || previous.step() != Step.DONE);
    return new Wave(request, offset, status, reason, changed, done + (isNewlyDone ? 1 : 0));
  }

  /**
   * Returns this wave with a closed status. Pending hosts become skipped, and hosts that are done
   * are dropped from the progress.
   */
  Wave closed(WaveStatus next, String newReason) {
    SortedMap<String, Progress> kept = new TreeMap<>();
    progress.forEach(
        (host, hostProgress) -> {
          if (hostProgress.step() == Step.PENDING) {
            kept.put(host, new Progress(Step.SKIPPED, newReason));
          } else if (hostProgress.step() != Step.DONE) {
            kept.put(host, hostProgress);
          }
        });
    return new Wave(request, offset, next, newReason, kept, done);
  }
}
