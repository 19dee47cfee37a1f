package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Counters of the past attempts of a job.
 *
 * @param attempts number of the last attempt
 * @param preemptions number of preemptions by urgent jobs
 * @param memoryKills out-of-memory kills since its last release
 * @param failures failed attempts since its last release
 * @param failedWorkers distinct healthy workers on which it failed since its last release, in order
 *     of the first failure
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

  JobHistory failed() {
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
