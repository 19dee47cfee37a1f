package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * What is known not to fit on any worker of a service in one pass.
 *
 * <p>Within a pass starts only take room away, so that a task which asks for at least as much fits
 * nowhere either. Not thread-safe.
 */
final class ExhaustedCapacity {
  private final Map<String, ServiceRoom> rooms = new HashMap<>();
  private final WorkerTable workers;
  private final long nowMillis;

  ExhaustedCapacity(WorkerTable workers, long nowMillis) {
    this.workers = workers;
    this.nowMillis = nowMillis;
  }

  /** The greatest room in each component when the pass began, and needs that fit nowhere. */
  private record ServiceRoom(Resources greatest, List<Need> needs) {}

  private record Need(Resources resources, String label) {
    /** Returns whether every worker that could take a task of the step could take this need. */
    boolean isWithin(StepSpec step, Resources reserved) {
      return reserved.fits(resources) && (label.isEmpty() || label.equals(step.label()));
    }
  }

  /** Notes that no worker of the service can take a task of the step. */
  void add(String service, StepSpec step) {
    // A limit for each worker binds only this step, so that others may still fit.
    if (step.maxPerWorker() == 0) {
      room(service).needs().add(new Need(step.reserved(), step.label()));
    }
  }

  /** Returns whether it is known that no worker of the service can take a task of the step. */
  boolean covers(String service, StepSpec step) {
    ServiceRoom room = room(service);
    Resources reserved = step.reserved();
    if (!room.greatest().fits(reserved)) {
      return true;
    }
    for (Need need : room.needs()) {
      if (need.isWithin(step, reserved)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether it is known that none of the waiting tasks fits. */
  boolean coversAll(String service, OccurrenceState occurrence) {
    for (int step = 0; step < occurrence.missing.length; step++) {
      if (occurrence.isWaiting(step) && !covers(service, occurrence.step(step))) {
        return false;
      }
    }
    return true;
  }

  private ServiceRoom room(String service) {
    ServiceRoom known = rooms.get(service);
    if (known == null) {
      known = new ServiceRoom(greatest(service), new ArrayList<>());
      rooms.put(service, known);
    }
    return known;
  }

  private Resources greatest(String service) {
    int cpuMillis = Integer.MIN_VALUE;
    int memoryMegabytes = Integer.MIN_VALUE;
    int accelerators = Integer.MIN_VALUE;
    for (WorkerState worker : workers.ofService(service)) {
      if (worker.mayStart(nowMillis)) {
        cpuMillis = Math.max(cpuMillis, worker.free.cpuMillis());
        memoryMegabytes = Math.max(memoryMegabytes, worker.free.memoryMegabytes());
        accelerators = Math.max(accelerators, worker.free.accelerators());
      }
    }
    return new Resources(cpuMillis, memoryMegabytes, accelerators);
  }
}
