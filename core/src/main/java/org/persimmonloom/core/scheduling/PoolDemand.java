package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;

/** What the unended workflows of each service ask for at one moment. Not thread-safe. */
final class PoolDemand {
  /** Need of one service. */
  static final class Need {
    long cpuMillis;
    long memoryMegabytes;

    /** Tasks that could start if there was room. */
    int waiting;

    /** Fewest workers over which tasks must be spread. */
    int minWorkers;

    /** Returns the need in workers of the given capacity. */
    double workers(Resources capacity) {
      double byCpu = cpuMillis / (double) Math.max(1, capacity.cpuMillis());
      double byMemory = memoryMegabytes / (double) Math.max(1, capacity.memoryMegabytes());
      return Math.max(minWorkers, Math.max(byCpu, byMemory));
    }
  }

  private final Map<String, Need> needs = new HashMap<>();

  static PoolDemand of(OccurrenceTable occurrenceTable, long wallMillis) {
    PoolDemand demand = new PoolDemand();
    for (List<OccurrenceState> occurrences : occurrenceTable.byWorkflow()) {
      for (OccurrenceState occurrence : occurrences) {
        if (wallMillis >= occurrence.spec.dueMillis(occurrence.number)) {
          demand.add(occurrence, occurrence.policy.service());
        }
      }
    }
    return demand;
  }

  private void add(OccurrenceState occurrence, String service) {
    Need need = needs.computeIfAbsent(service, key -> new Need());
    for (int step = 0; step < occurrence.remaining.length; step++) {
      int wanted = occurrence.remaining[step];
      if (wanted == 0 || !occurrence.isReady(step)) {
        continue;
      }
      StepSpec spec = occurrence.step(step);
      Resources each = spec.reserved();
      need.cpuMillis += (long) wanted * each.cpuMillis();
      need.memoryMegabytes += (long) wanted * each.memoryMegabytes();
      need.waiting += occurrence.waitingTasks(step);
      if (spec.longRunning() && spec.maxPerWorker() > 0) {
        need.minWorkers = Math.max(need.minWorkers, ceilDiv(spec.tasks(), spec.maxPerWorker()));
      }
    }
  }

  private static int ceilDiv(int amount, int by) {
    return (amount + by - 1) / by;
  }

  Need of(String service) {
    return needs.getOrDefault(service, new Need());
  }
}
