package org.persimmonloom.tool.oracle;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Compares the jobs that were accepted with what the workers ran. Safe for any thread.
 *
 * <p>A job is lost if it was accepted and neither ended nor was reported as unknown or cancelled. A
 * job is doubled if two workers finished it, if two ran it at once, or if it is not repeatable and
 * was started twice.
 */
public final class JobLedger {
  private final Map<String, Boolean> accepted = new HashMap<>();
  private final Map<String, Set<String>> running = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Integer> finishes = new HashMap<>();
  private final Set<String> settled = new HashSet<>();
  private final Set<String> overlapping = new HashSet<>();

  /** Records that a job was accepted. */
  public synchronized void accepted(String job, boolean isRepeatable) {
    accepted.put(job, isRepeatable);
  }

  /** Records that a worker began to run a job. */
  public synchronized void started(String job, String worker) {
    starts.merge(job, 1, Integer::sum);
    Set<String> workers = running.computeIfAbsent(job, key -> new HashSet<>());
    workers.add(worker);
    if (workers.size() > 1) {
      overlapping.add(job);
    }
  }

  /** Records that a worker no longer runs a job. */
  public synchronized void ended(String job, String worker, boolean isFinished) {
    running.getOrDefault(job, new HashSet<>()).remove(worker);
    if (isFinished) {
      finishes.merge(job, 1, Integer::sum);
    }
  }

  /** Records that the submitter was told that a job is cancelled or that its outcome is unknown. */
  public synchronized void settled(String job) {
    settled.add(job);
  }

  /** Returns the number of lost jobs. */
  public synchronized long lost() {
    return accepted.keySet().stream()
        .filter(job -> !finishes.containsKey(job) && !settled.contains(job))
        .count();
  }

  /** Returns the number of doubled jobs. */
  public synchronized long doubled() {
    return accepted.entrySet().stream()
        .filter(
            job ->
                overlapping.contains(job.getKey())
                    || finishes.getOrDefault(job.getKey(), 0) > 1
                    || (!job.getValue() && starts.getOrDefault(job.getKey(), 0) > 1))
        .count();
  }
}
