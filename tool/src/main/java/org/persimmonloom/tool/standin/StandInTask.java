package org.persimmonloom.tool.standin;

import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.TaskReport;
import org.persimmonloom.core.job.TaskState;

/**
 * One task at a stand-in of a worker. Its course is computed when it is looked at: of its possible
 * ends, the earliest counts. Confined to the lock of its worker.
 */
final class StandInTask {
  final String job;
  final int attempt;
  final JobSize size;
  private final TaskBehaviour behaviour;
  private final long placedOffset;
  private TaskState state;
  private String detail = "";
  private String checkpoint;
  private long leaseUntilMillis;
  private long progressMillis;
  private long checkpointProgressMillis;
  private long seenMillis;
  private long endMillis;
  private int throttlePercent = 100;

  StandInTask(
      String job,
      int attempt,
      JobSize size,
      TaskBehaviour behaviour,
      long placedOffset,
      String checkpoint) {
    this.job = job;
    this.attempt = attempt;
    this.size = size;
    this.behaviour = behaviour;
    this.placedOffset = placedOffset;
    this.checkpoint = checkpoint;
    if (!checkpoint.isEmpty()) {
      progressMillis = Long.parseLong(checkpoint.substring(checkpoint.lastIndexOf('@') + 1));
      checkpointProgressMillis = progressMillis;
    }
  }

  void start(long nowMillis, long untilMillis) {
    state = TaskState.RUNNING;
    seenMillis = nowMillis;
    leaseUntilMillis = untilMillis;
  }

  void endAs(TaskState next, String why, long millis) {
    state = next;
    detail = why;
    endMillis = millis;
  }

  void renew(long untilMillis) {
    leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
  }

  void throttle(int percent) {
    throttlePercent = percent;
  }

  void writeCheckpoint() {
    checkpoint = job + '@' + progressMillis;
    checkpointProgressMillis = progressMillis;
  }

  /** Advances the task to now; returns whether it ended by itself. */
  boolean advance(long nowMillis) {
    if (state != TaskState.RUNNING) {
      return false;
    }
    boolean lacksMemory = behaviour.peakMemoryMb() > size.memoryMb();
    long goalMillis = lacksMemory ? behaviour.runMillis() / 2 : behaviour.runMillis();
    long neededMillis = Math.max(0, goalMillis - progressMillis) * 100 / throttlePercent;
    long goalAtMillis = seenMillis + neededMillis;
    if (goalAtMillis <= nowMillis && goalAtMillis <= leaseUntilMillis) {
      progressMillis = goalMillis;
      end(lacksMemory, goalAtMillis);
      return true;
    }
    long untilMillis = Math.min(nowMillis, leaseUntilMillis);
    progressMillis += Math.max(0, untilMillis - seenMillis) * throttlePercent / 100;
    seenMillis = Math.max(seenMillis, untilMillis);
    if (leaseUntilMillis <= nowMillis) {
      endAs(TaskState.EXPIRED, "lease expired", leaseUntilMillis);
      return true;
    }
    return false;
  }

  private void end(boolean lacksMemory, long millis) {
    if (lacksMemory) {
      endAs(TaskState.OUT_OF_MEMORY, "exceeded " + size.memoryMb() + " MiB", millis);
    } else if (!behaviour.failure().isEmpty()) {
      endAs(TaskState.FAILED, behaviour.failure(), millis);
    } else {
      endAs(TaskState.FINISHED, "", millis);
    }
  }

  TaskState state() {
    return state;
  }

  long endMillis() {
    return endMillis;
  }

  boolean isRunning() {
    return state == TaskState.RUNNING;
  }

  /** Returns the report; usage is that of {@code lagMillis} ago. */
  TaskReport report(long lagMillis) {
    boolean isUsageKnown = progressMillis >= lagMillis || !isRunning();
    return new TaskReport(
        job,
        attempt,
        state,
        placedOffset,
        progressMillis,
        isUsageKnown ? behaviour.usedCores() : 0,
        isUsageKnown ? Math.min(size.memoryMb(), behaviour.peakMemoryMb()) : 0,
        throttlePercent,
        checkpoint,
        progressMillis - checkpointProgressMillis,
        detail);
  }
}
