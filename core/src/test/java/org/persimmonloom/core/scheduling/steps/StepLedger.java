package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.scheduling.EndCause;
import org.persimmonloom.core.workflow.TaskId;

/**
 * All runs as the workers saw them, and the rules that hold for them. Not thread-safe.
 *
 * <p>TWICE: no run of a task begins while another one is present on a process that is up, nor after
 * one has ended {@code done}, if that end is taken note of then or later and the lease held until
 * then. BUDGET: none begins after all attempts have ended {@code failed} and were taken note of.
 */
final class StepLedger {
  private final Map<TaskId, List<Run>> runs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final int attempts;
  private int started;
  private int done;

  StepLedger(int attempts) {
    this.attempts = attempts;
  }

  /** A run on a worker process. */
  static final class Run {
    final TaskId task;
    final int number;
    final String worker;
    final long fence;
    final long beginMillis;
    long endMillis = Long.MAX_VALUE;
    EndCause cause;
    long notedMillis = -1;

    Run(TaskId task, int number, String worker, long fence, long beginMillis) {
      this.task = task;
      this.number = number;
      this.worker = worker;
      this.fence = fence;
      this.beginMillis = beginMillis;
    }

    @Override
    public String toString() {
      return task
          + " run "
          + number
          + " on "
          + worker
          + " fence "
          + fence
          + " from "
          + beginMillis
          + (cause == null && endMillis == Long.MAX_VALUE ? "" : " to " + endMillis + " " + cause)
          + (notedMillis < 0 ? "" : " noted " + notedMillis);
    }
  }

  Run begin(TaskId task, int number, String worker, long fence, long nowMillis) {
    Run run = new Run(task, number, worker, fence, nowMillis);
    List<Run> earlier = runs.computeIfAbsent(task, key -> new ArrayList<>());
    int failures = 0;
    for (Run before : earlier) {
      if (before.endMillis > nowMillis) {
        violations.add("TWICE at the same time: " + before + ", then " + run);
      }
      failures += before.cause == EndCause.FAILED && before.notedMillis >= 0 ? 1 : 0;
    }
    if (failures >= attempts) {
      violations.add("BUDGET: " + run);
    }
    earlier.add(run);
    started++;
    return run;
  }

  /** Ends a run; the cause is null if its process ended. */
  void end(Run run, EndCause cause, long endMillis) {
    run.endMillis = endMillis;
    run.cause = cause;
    done += cause == EndCause.DONE ? 1 : 0;
  }

  /** Notes an end whose lease held until now. */
  void note(Run run, long nowMillis) {
    run.notedMillis = nowMillis;
    if (run.cause != EndCause.DONE) {
      return;
    }
    for (Run other : runs.get(run.task)) {
      if (other != run && other.beginMillis >= run.endMillis) {
        violations.add("TWICE after its end: " + run + ", then " + other);
      }
    }
  }

  /** Checks a start against ends that were noted before it. */
  void checkAfterEnd(Run run) {
    for (Run other : runs.get(run.task)) {
      if (other != run && other.cause == EndCause.DONE && other.notedMillis >= 0) {
        violations.add("TWICE after a noted end: " + other + ", then " + run);
      }
    }
  }

  void lost(String what) {
    violations.add("LOST: " + what);
  }

  List<String> violations() {
    return violations;
  }

  int started() {
    return started;
  }

  int done() {
    return done;
  }
}
