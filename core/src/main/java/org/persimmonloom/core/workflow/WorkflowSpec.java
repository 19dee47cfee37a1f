package org.persimmonloom.core.workflow;

import java.util.List;
import java.util.Objects;

/**
 * A submitted workflow as stored in the log. Immutable.
 *
 * @param id identifier of the workflow, chosen by the submitter
 * @param policy policy of the queue at the time the workflow was accepted
 * @param payload data that is passed to every task unchanged
 * @param steps steps of the workflow; steps refer to each other by index
 * @param repeatCount number of scheduled occurrences; 0 to run once, immediately
 * @param firstMillis Unix time of the first occurrence
 * @param intervalMillis time between the starts of successive occurrences
 * @param acceptedMillis Unix time at which the entry host accepted the workflow
 */
public record WorkflowSpec(
    String id,
    QueuePolicy policy,
    String payload,
    List<StepSpec> steps,
    int repeatCount,
    long firstMillis,
    long intervalMillis,
    long acceptedMillis) {
  /** Copies the steps; no reference may be null. */
  public WorkflowSpec {
    Objects.requireNonNull(id);
    Objects.requireNonNull(policy);
    Objects.requireNonNull(payload);
    steps = List.copyOf(steps);
  }

  /** Returns whether the submitter sent the same, whatever the host that accepted it added. */
  public boolean hasSameBody(WorkflowSpec other) {
    return payload.equals(other.payload)
        && steps.equals(other.steps)
        && repeatCount == other.repeatCount
        && firstMillis == other.firstMillis
        && intervalMillis == other.intervalMillis;
  }

  /** Returns the number of occurrences, at least 1. */
  public int occurrences() {
    return Math.max(1, repeatCount);
  }

  /** Returns the Unix time at which an occurrence is due; 0 for a workflow without a schedule. */
  public long dueMillis(int occurrence) {
    return repeatCount == 0 ? 0 : firstMillis + occurrence * intervalMillis;
  }

  /** Returns the number of tasks of one occurrence. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::tasks).sum();
  }

  /** Returns whether any step runs until the workflow is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(StepSpec::longRunning);
  }

  /** Returns the position of the first task of a step among the tasks of an occurrence. */
  public int firstTask(int step) {
    int first = 0;
    for (int i = 0; i < step; i++) {
      first += steps.get(i).tasks();
    }
    return first;
  }

  /** Returns the length of the critical path of the steps by estimated run times, in ms. */
  public long longestChainMillis() {
    long[] endMillis = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < endMillis.length; i++) {
      StepSpec step = steps.get(i);
      long startMillis = 0;
      for (int earlier : step.after()) {
        startMillis = Math.max(startMillis, endMillis[earlier]);
      }
      endMillis[i] = startMillis + step.estimateMillis();
      longest = Math.max(longest, endMillis[i]);
    }
    return longest;
  }

  /**
   * Returns a compact form of the steps for logs, joined by {@code +}. Each step is written as the
   * number of tasks, {@code x}, the thousandths of a core per task, and then: L for long-running, F
   * for filler, m and the {@code mayMiss} limit, t and the latency target in ms, G for gang, S for
   * speculative, w and the limit per worker.
   */
  public String outline() {
    StringBuilder text = new StringBuilder();
    for (StepSpec step : steps) {
      text.append(text.isEmpty() ? "" : "+").append(step.tasks()).append('x');
      text.append(step.request().cpuMillis());
      text.append(step.longRunning() ? "L" : "").append(step.filler() ? "F" : "");
      text.append(step.mayMiss() > 0 ? "m" + step.mayMiss() : "");
      text.append(step.targetMillis() > 0 ? "t" + step.targetMillis() : "");
      text.append(step.gang() ? "G" : "").append(step.speculative() ? "S" : "");
      text.append(step.maxPerWorker() > 0 ? "w" + step.maxPerWorker() : "");
    }
    return text.toString();
  }

  /** Returns the completion objective, in ms from submission. */
  public long objectiveMillis() {
    return Math.round(policy.stretch() * longestChainMillis()) + policy.targetMillis();
  }
}
