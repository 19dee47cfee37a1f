package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.List;

/** Plays plans of successive seeds, and shrinks those that break a rule. Stateless. */
final class StepSearch {
  private StepSearch() {}

  /**
   * A plan that broke a rule, with its steps.
   *
   * @param shrunk the plan with the faults that are needed
   * @param violations violations of the shrunk plan
   * @param steps steps of the shrunk plan
   */
  record Failure(StepPlan shrunk, List<String> violations, List<String> steps) {
    String report() {
      return "seed "
          + shrunk.seed()
          + ", "
          + shrunk.hosts()
          + " hosts, "
          + shrunk.workers()
          + " workers, pages of "
          + shrunk.pageSize()
          + "\n  faults:\n    "
          + String.join("\n    ", shrunk.faults().stream().map(Object::toString).toList())
          + "\n  violations:\n    "
          + String.join("\n    ", violations)
          + "\n  steps:\n    "
          + String.join("\n    ", steps);
    }
  }

  static List<String> violations(StepPlan plan) {
    return List.copyOf(new StepModel(plan, null).play());
  }

  /** Returns the plan without faults that are not needed for a violation. */
  static Failure shrink(StepPlan plan) {
    List<StepFault> kept = new ArrayList<>(plan.faults());
    boolean isSmaller = true;
    while (isSmaller) {
      isSmaller = false;
      for (int i = kept.size() - 1; i >= 0; i--) {
        List<StepFault> fewer = new ArrayList<>(kept);
        fewer.remove(i);
        if (!violations(plan.with(fewer)).isEmpty()) {
          kept = fewer;
          isSmaller = true;
        }
      }
    }
    List<String> steps = new ArrayList<>();
    StepPlan shrunk = plan.with(kept);
    List<String> violations = List.copyOf(new StepModel(shrunk, steps).play());
    return new Failure(shrunk, violations, steps);
  }
}
