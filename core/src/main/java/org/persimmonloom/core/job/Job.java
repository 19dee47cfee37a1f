package org.persimmonloom.core.job;

/**
 * A job as the fold knows it.
 *
 * @param live the one live attempt; null if none. Present exactly in the states {@link
 *     JobState#PLACED} and {@link JobState#RUNNING}.
 * @param checkpoint name of the last checkpoint at the workers' store; empty if none
 * @param memoryFloorMb least memory of the next attempt, raised when one is killed for memory
 * @param sinceMillis fold time of the last change of state; a preempted job keeps its place in the
 *     queue because it is queued since its submission
 * @param queuedMillis fold time of submission or release; waiting is counted from here
 * @param reason why it is in this state; empty if there is nothing to say
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

  /** Returns whether this attempt is the live one. */
  public boolean isLive(int attempt) {
    return live != null && live.number() == attempt;
  }

  Job placed(Attempt attempt) {
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

  /** Returns the job without a live attempt. */
  Job detached(JobState next, String why, long nowMillis) {
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
