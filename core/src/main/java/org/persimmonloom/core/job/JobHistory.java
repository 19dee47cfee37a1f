package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * What happened to a job so far.
 *
 * @param attempts number of the last attempt
 * @param preemptions how often it made room for urgent work
 * @param memoryKills how often it was killed for memory since its last release
 * @param failures failed attempts since its last release
 * @param failedWorkers distinct workers on which it failed since its last release, in that order
 */
public record JobHistory(
    int attempts, int preemptions, int memoryKills, int failures, List<String> failedWorkers) {
  static final JobHistory EMPTY = new JobHistory(0, 0, 0, 0, List.of());

  public JobHistory {
    failedWorkers = List.copyOf(failedWorkers);
  }

  JobHistory placed() {
    return new JobHistory(attempts + 1, preemptions, memoryKills, failures, failedWorkers);
  }

  JobHistory preempted() {
    return new JobHistory(attempts, preemptions + 1, memoryKills, failures, failedWorkers);
  }

  JobHistory killedForMemory() {
    return new JobHistory(attempts, preemptions, memoryKills + 1, failures + 1, failedWorkers);
  }

  JobHistory failedOnce() {
    return new JobHistory(attempts, preemptions, memoryKills, failures + 1, failedWorkers);
  }

  JobHistory failedOn(String worker) {
    List<String> workers = new ArrayList<>(failedWorkers);
    if (!workers.contains(worker)) {
      workers.add(worker);
    }
    return new JobHistory(attempts, preemptions, memoryKills, failures + 1, workers);
  }

  JobHistory released() {
    return new JobHistory(attempts, preemptions, 0, 0, List.of());
  }
}
