package org.persimmonloom.tool.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.job.TaskState;

/**
 * Every run of every job at all stand-ins of workers, for an oracle that counts lost and doubled
 * jobs. Safe for any thread.
 */
public final class TaskLedger {
  private final Map<String, List<Run>> runs = new TreeMap<>();

  /**
   * One run of a job.
   *
   * @param endMillis the largest value while it runs
   * @param state {@link TaskState#RUNNING} while it runs
   */
  public record Run(String worker, int attempt, long startMillis, long endMillis, TaskState state) {
    boolean overlaps(Run other) {
      return startMillis < other.endMillis && other.startMillis < endMillis;
    }
  }

  synchronized void started(String job, String worker, int attempt, long millis) {
    runs.computeIfAbsent(job, unused -> new ArrayList<>())
        .add(new Run(worker, attempt, millis, Long.MAX_VALUE, TaskState.RUNNING));
  }

  synchronized void ended(String job, String worker, int attempt, long millis, TaskState state) {
    runs.get(job)
        .replaceAll(
            run ->
                run.worker().equals(worker)
                        && run.attempt() == attempt
                        && run.state() == TaskState.RUNNING
                    ? new Run(worker, attempt, run.startMillis(), millis, state)
                    : run);
  }

  /** Returns how often the job was started. */
  public synchronized int starts(String job) {
    return runs.getOrDefault(job, List.of()).size();
  }

  /** Returns the runs of a job, in the order of their starts. */
  public synchronized List<Run> runs(String job) {
    return List.copyOf(runs.getOrDefault(job, List.of()));
  }

  /** Returns the jobs of which two runs overlapped. */
  public synchronized List<String> overlapping() {
    return runs.keySet().stream().filter(job -> hasOverlap(runs.get(job))).toList();
  }

  /**
   * Returns the jobs that succeeded more than once. A repeatable job may, if its first success was
   * lost with its worker.
   */
  public synchronized List<String> succeededTwice() {
    return runs.keySet().stream()
        .filter(
            job ->
                runs.get(job).stream().filter(it -> it.state() == TaskState.FINISHED).count() > 1)
        .toList();
  }

  private static boolean hasOverlap(List<Run> all) {
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        if (all.get(i).overlaps(all.get(j))) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the number of jobs with a task running now. */
  public synchronized long running() {
    return runs.values().stream()
        .filter(all -> all.stream().anyMatch(it -> it.state() == TaskState.RUNNING))
        .count();
  }
}
