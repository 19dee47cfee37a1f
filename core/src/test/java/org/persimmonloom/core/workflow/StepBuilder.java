package org.persimmonloom.core.workflow;

import java.util.List;

/** Builds steps for tests; attributes that are not set have the values of a plain short task. */
public final class StepBuilder {
  private final int tasks;
  private int cpuMillis = 1_000;
  private List<Integer> after = List.of();
  private boolean isGang;
  private boolean isSameRack;
  private String label = "";
  private int maxPerWorker;
  private boolean isLongRunning;
  private String image = "";
  private int targetMillis;
  private boolean isFiller;
  private int mayMiss;

  private StepBuilder(int tasks) {
    this.tasks = tasks;
  }

  public static StepBuilder step(int tasks) {
    return new StepBuilder(tasks);
  }

  public StepBuilder cpuMillis(int value) {
    cpuMillis = value;
    return this;
  }

  public StepBuilder after(List<Integer> steps) {
    after = steps;
    return this;
  }

  public StepBuilder gang(boolean sameRack) {
    isGang = true;
    isSameRack = sameRack;
    return this;
  }

  public StepBuilder label(String value) {
    label = value;
    return this;
  }

  /** Makes the tasks long-running services with a latency target, at most one per worker. */
  public StepBuilder longRunningService(int latencyTargetMillis, int maxMissing) {
    isLongRunning = true;
    image = "image";
    targetMillis = latencyTargetMillis;
    maxPerWorker = 1;
    mayMiss = maxMissing;
    return this;
  }

  public StepBuilder filler() {
    isLongRunning = true;
    image = "batch";
    isFiller = true;
    return this;
  }

  public StepSpec build() {
    return new StepSpec(
        tasks,
        new Resources(cpuMillis, 100, 0),
        500,
        after,
        false,
        isGang,
        isSameRack,
        label,
        "",
        maxPerWorker,
        false,
        isLongRunning,
        image,
        targetMillis,
        isFiller,
        mayMiss);
  }
}
