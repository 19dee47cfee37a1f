package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Resource demand of each service: of its active workflows, or of the work that arrives if that is
 * more. Not thread-safe.
 */
final class PoolDemand {
  /** Demand of one service. */
  static final class Need {
    long cpuMillis;
    long memoryMegabytes;

    /** Number of tasks that could start if there was capacity. */
    int waiting;

    /** Minimum number of workers, due to limits on the tasks of a step per worker. */
    int minWorkers;

    /** Returns the demand as a number of workers with the given capacity. */
    double workers(Resources capacity) {
      double byCpu = cpuMillis / (double) Math.max(1, capacity.cpuMillis());
      double byMemory = memoryMegabytes / (double) Math.max(1, capacity.memoryMegabytes());
      return Math.max(minWorkers, Math.max(byCpu, byMemory));
    }
  }

  private final Map<String, Need> needs = new HashMap<>();

  static PoolDemand of(
      OccurrenceTable occurrenceTable, Set<String> services, long nowMillis, long wallMillis) {
    PoolDemand demand = new PoolDemand();
    occurrenceTable.forEachDue(
        wallMillis, occurrence -> demand.add(occurrence, occurrence.policy.service()));
    for (String service : services) {
      Need need = demand.needs.computeIfAbsent(service, key -> new Need());
      long expected = occurrenceTable.arrivals().expectedCpuMillis(service, nowMillis);
      need.cpuMillis = Math.max(need.cpuMillis, expected);
    }
    return demand;
  }

  private void add(OccurrenceState occurrence, String service) {
    Need need = needs.computeIfAbsent(service, key -> new Need());
    for (int step = 0; step < occurrence.remaining.length; step++) {
      int unfinished = occurrence.remaining[step];
      if (unfinished == 0 || !occurrence.isReady(step)) {
        continue;
      }
      StepSpec spec = occurrence.step(step);
      Resources perTask = spec.reserved();
      need.cpuMillis += (long) unfinished * perTask.cpuMillis();
      need.memoryMegabytes += (long) unfinished * perTask.memoryMegabytes();
      need.waiting += occurrence.waitingTasks(step);
      if (spec.longRunning() && spec.maxPerWorker() > 0) {
        need.minWorkers = Math.max(need.minWorkers, ceilDiv(spec.tasks(), spec.maxPerWorker()));
      }
    }
  }

  private static int ceilDiv(int dividend, int divisor) {
    return (dividend + divisor - 1) / divisor;
  }

  Need of(String service) {
    return needs.getOrDefault(service, new Need());
  }
}
