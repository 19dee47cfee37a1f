package org.persimmonloom.core.job;

/**
 * The state of a job in the fold.
 *
 * @param live the live attempt. Non-null exactly in the states {@link JobState#PLACED} and {@link
 *     JobState#RUNNING}, otherwise null.
 * @param checkpoint name of the last checkpoint in the checkpoint store of the workers; empty if
 *     none
 * @param memoryFloorMb minimum memory of the next attempt in MiB, raised when an attempt runs out
 *     of memory
 * @param sinceMillis fold time of the last change of state
 * @param queuedMillis fold time of submission or release. Waiting time counts from here, so a
 *     preempted job keeps its place in the queue.
 * @param reason reason for the current state; empty if none is recorded
 */
public record Job(
    JobSpec spec,
    JobState state,
    Attempt live,
    JobHistory history,
    String checkpoint,
    long memoryFloorMb,
    long sinceMillis,
    long queuedMillis,
    String reason) {
  static Job submitted(JobSpec spec, long nowMillis) {
    return new Job(spec, JobState.QUEUED, null, JobHistory.EMPTY, "", 0, nowMillis, nowMillis, "");
  }

  /** Returns the job's identifier. */
  public String name() {
    return spec.job();
  }

  /** Returns whether the live attempt has this number. */
  public boolean isLive(int attempt) {
    return live != null && live.number() == attempt;
  }

  Job withPlacement(Attempt attempt) {
    return new Job(
        spec,
        JobState.PLACED,
        attempt,
        history.placed(),
        checkpoint,
        memoryFloorMb,
        attempt.placedMillis(),
        queuedMillis,
        "");
  }

  Job withLive(JobState next, Attempt attempt, long nowMillis) {
    long since = next == state ? sinceMillis : nowMillis;
    return new Job(
        spec, next, attempt, history, checkpoint, memoryFloorMb, since, queuedMillis, reason);
  }

  Job withHistory(JobHistory next) {
    return new Job(
        spec, state, live, next, checkpoint, memoryFloorMb, sinceMillis, queuedMillis, reason);
  }

  Job withCheckpoint(String name) {
    return new Job(
        spec, state, live, history, name, memoryFloorMb, sinceMillis, queuedMillis, reason);
  }

  Job withReason(String why) {
    return new Job(
        spec, state, live, history, checkpoint, memoryFloorMb, sinceMillis, queuedMillis, why);
  }

  Job withMemoryFloor(long floorMb) {
    return new Job(
        spec, state, live, history, checkpoint, floorMb, sinceMillis, queuedMillis, reason);
  }

  /** Returns a copy in the given state without a live attempt. */
  Job withoutLive(JobState next, String why, long nowMillis) {
    return new Job(
        spec, next, null, history, checkpoint, memoryFloorMb, nowMillis, queuedMillis, why);
  }

  Job released(long nowMillis) {
    return new Job(
        spec,
        JobState.QUEUED,
        null,
        history.released(),
        checkpoint,
        memoryFloorMb,
        nowMillis,
        nowMillis,
        "");
  }
}
