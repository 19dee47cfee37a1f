package org.persimmonloom.core.scheduling;

import java.util.List;
import java.util.Set;

/** Counts of workers, runs and tasks per service, for logs. Stateless. */
final class PoolOutline {
  private PoolOutline() {}

  static String of(
      Set<String> services, WorkerTable workers, OccurrenceTable occurrences, long nowMillis) {
    StringBuilder line = new StringBuilder();
    for (String service : services.stream().sorted().toList()) {
      List<WorkerState> pool = workers.ofService(service);
      long usable = pool.stream().filter(worker -> worker.acceptsRuns(nowMillis)).count();
      int runs = pool.stream().mapToInt(worker -> worker.runs.size()).sum();
      line.append(service).append("=workers:").append(pool.size());
      line.append(",usable:").append(usable).append(",runs:").append(runs);
      line.append(",waiting:").append(occurrences.waitingTasks(service)).append(' ');
    }
    return line.toString().strip();
  }
}
