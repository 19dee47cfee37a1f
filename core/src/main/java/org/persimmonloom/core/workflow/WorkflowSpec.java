package org.persimmonloom.core.workflow;

import java.util.List;

/**
 * A submitted workflow as it is kept in the log. Immutable.
 *
 * @param id the submitter's identifier
 * @param policy the queue's policy when the workflow was accepted
 * @param payload passed to every task unchanged
 * @param steps steps in order
 * @param repeatCount number of scheduled occurrences; 0 to run once at once
 * @param firstMillis Unix time of the first occurrence
 * @param intervalMillis time between occurrences
 * @param acceptedMillis Unix time at which the entry host accepted it
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
  /** Copies the list. */
  public WorkflowSpec {
    steps = List.copyOf(steps);
  }

  /** Returns how many times the steps run. */
  public int occurrences() {
    return Math.max(1, repeatCount);
  }

  /** Returns the Unix time at which an occurrence is due; 0 for a workflow without times. */
  public long dueMillis(int occurrence) {
    return repeatCount == 0 ? 0 : firstMillis + occurrence * intervalMillis;
  }

  /** Returns the number of tasks of one occurrence. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::tasks).sum();
  }

  /** Returns whether a step runs until the workflow is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(StepSpec::longRunning);
  }

  /** Returns the position of a step's first task among the tasks of an occurrence. */
  public int firstTask(int step) {
    int first = 0;
    for (int i = 0; i < step; i++) {
      first += steps.get(i).tasks();
    }
    return first;
  }

  /** Returns the longest chain of estimated run times, in milliseconds. */
  public long longestChainMillis() {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < ends.length; i++) {
      StepSpec step = steps.get(i);
      long start = 0;
      for (int earlier : step.after()) {
        start = Math.max(start, ends[earlier]);
      }
      ends[i] = start + step.estimateMillis();
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }

  /** Returns the steps in one line for logs, each as tasks x thousandths of a core. */
  public String outline() {
    StringBuilder line = new StringBuilder();
    for (StepSpec step : steps) {
      line.append(line.isEmpty() ? "" : "+").append(step.tasks()).append('x');
      line.append(step.request().cpuMillis());
      line.append(step.longRunning() ? "L" : "").append(step.filler() ? "F" : "");
      line.append(step.mayMiss() > 0 ? "m" + step.mayMiss() : "");
      line.append(step.targetMillis() > 0 ? "t" + step.targetMillis() : "");
      line.append(step.gang() ? "G" : "").append(step.speculative() ? "S" : "");
      line.append(step.maxPerWorker() > 0 ? "w" + step.maxPerWorker() : "");
    }
    return line.toString();
  }

  /** Returns the time from submission within which the workflow should be complete. */
  public long objectiveMillis() {
    return Math.round(policy.stretch() * longestChainMillis()) + policy.targetMillis();
  }
}
