package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Requests found not to fit on any worker of a service during one scheduling pass.
 *
 * <p>Capacity only shrinks within a pass, so a request that is at least as large as one that did
 * not fit does not fit either. Not thread-safe.
 */
final class ExhaustedCapacity {
  private final Map<String, ServiceCapacity> capacities = new HashMap<>();
  private final WorkerTable workers;
  private final long nowMillis;

  ExhaustedCapacity(WorkerTable workers, long nowMillis) {
    this.workers = workers;
    this.nowMillis = nowMillis;
  }

  /** The greatest free amount of each resource when first used, and requests that did not fit. */
  private record ServiceCapacity(Resources greatest, List<Need> needs) {}

  private record Need(Resources resources, String label) {
    /** Returns whether every worker that can take a task of the step can also take this request. */
    boolean isWithin(StepSpec step, Resources reserved) {
      return reserved.covers(resources) && (label.isEmpty() || label.equals(step.label()));
    }
  }

  /** Records that no worker of the service can take a task of the step. */
  void add(String service, StepSpec step) {
    // A limit of tasks per worker applies to this step alone; tasks of other steps may still fit.
    if (step.maxPerWorker() == 0) {
      capacity(service).needs().add(new Need(step.reserved(), step.label()));
    }
  }

  /** Returns whether it is certain that no worker of the service can take a task of the step. */
  boolean isExhausted(String service, StepSpec step) {
    ServiceCapacity capacity = capacity(service);
    Resources reserved = step.reserved();
    if (!capacity.greatest().covers(reserved)) {
      return true;
    }
    for (Need need : capacity.needs()) {
      if (need.isWithin(step, reserved)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether it is certain that none of the waiting tasks fits on a worker. */
  boolean isExhaustedForAll(String service, OccurrenceState occurrence) {
    for (int step = 0; step < occurrence.remaining.length; step++) {
      if (occurrence.isWaiting(step) && !isExhausted(service, occurrence.step(step))) {
        return false;
      }
    }
    return true;
  }

  private ServiceCapacity capacity(String service) {
    ServiceCapacity known = capacities.get(service);
    if (known == null) {
      known = new ServiceCapacity(greatest(service), new ArrayList<>());
      capacities.put(service, known);
    }
    return known;
  }

  private Resources greatest(String service) {
    int cpuMillis = Integer.MIN_VALUE;
    int memoryMegabytes = Integer.MIN_VALUE;
    int accelerators = Integer.MIN_VALUE;
    for (WorkerState worker : workers.ofService(service)) {
      if (worker.acceptsRuns(nowMillis)) {
        cpuMillis = Math.max(cpuMillis, worker.free.cpuMillis());
        memoryMegabytes = Math.max(memoryMegabytes, worker.free.memoryMegabytes());
        accelerators = Math.max(accelerators, worker.free.accelerators());
      }
    }
    return new Resources(cpuMillis, memoryMegabytes, accelerators);
  }
}
