package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * What was found not to fit on any worker of a service in one pass.
 *
 * <p>Within a pass starts only take room away, so that a task which asks for at least as much fits
 * nowhere either. Not thread-safe.
 */
final class ExhaustedRoom {
  private record Need(Resources resources, String label) {
    /** Returns whether every worker that could take a task of the step could take this need. */
    boolean isWithin(StepSpec step, Resources reserved) {
      return reserved.fits(resources) && (label.isEmpty() || label.equals(step.label()));
    }
  }

  private final Map<String, List<Need>> needsByService = new HashMap<>();

  /** Notes that no worker of the service can take a task of the step. */
  void add(String service, StepSpec step) {
    // A limit for each worker binds only this step, so that others may still fit.
    if (step.maxPerWorker() == 0) {
      List<Need> needs = needsByService.computeIfAbsent(service, key -> new ArrayList<>());
      needs.add(new Need(step.reserved(), step.label()));
    }
  }

  /** Returns whether it is known that no worker of the service can take a task of the step. */
  boolean covers(String service, StepSpec step) {
    List<Need> needs = needsByService.get(service);
    if (needs == null) {
      return false;
    }
    Resources reserved = step.reserved();
    for (Need need : needs) {
      if (need.isWithin(step, reserved)) {
        return true;
      }
    }
    return false;
  }
}
