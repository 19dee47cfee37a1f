package org.persimmonloom.core.workflow;

import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Limits of a workflow that an owner can carry out. Stateless. */
public final class WorkflowLimits {
  /**
   * Maximum number of tasks in all occurrences. The progress of this many tasks fits into a record,
   * and their state into the memory of a small host.
   */
  public static final int MAX_TASKS = 20_000;

  /** Unix times and intervals beyond this value overflow when they are added, in ms. */
  private static final long MAX_MILLIS = Long.MAX_VALUE / (2L * MAX_TASKS);

  private WorkflowLimits() {}

  /** Returns the reason why a workflow cannot be carried out; empty if it can. */
  public static Optional<Failure> violation(WorkflowSpec spec) {
    String reason = reason(spec);
    return reason.isEmpty()
        ? Optional.empty()
        : Optional.of(Failure.of(ResultCode.JOB_INVALID, spec.id(), reason));
  }

  private static String reason(WorkflowSpec spec) {
    if (spec.steps().isEmpty()) {
      return "steps are missing";
    }
    long tasks = 0;
    for (int number = 0; number < spec.steps().size(); number++) {
      StepSpec step = spec.steps().get(number);
      if (step.tasks() < 1) {
        return "step without tasks";
      }
      if (!step.request().covers(Resources.NONE) || step.estimateMillis() < 0) {
        return "negative amount";
      }
      for (int predecessor : step.after()) {
        if (predecessor < 0 || predecessor >= number) {
          return "step follows a later one";
        }
      }
      tasks += step.tasks();
    }
    if (spec.repeatCount() < 0 || tasks * spec.occurrences() > MAX_TASKS) {
      return "more than " + MAX_TASKS + " tasks";
    }
    boolean isScheduleValid = isTime(spec.firstMillis()) && isTime(spec.intervalMillis());
    return isScheduleValid ? "" : "time out of range";
  }

  private static boolean isTime(long millis) {
    return millis >= 0 && millis <= MAX_MILLIS;
  }
}
