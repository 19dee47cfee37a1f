package org.persimmonloom.core.job;

/**
 * The live attempt of a job. A job has at most one.
 *
 * @param number attempt number; increases with each placement of the job and is never reused
 * @param boot the worker's boot number at placement; a worker rejects a start for another boot
 * @param size resources reserved at the worker
 * @param placedMillis fold time of the placement
 * @param placedOffset log offset of the placement. Workers report it, which lets an entry host that
 *     has not folded this offset yet recognise the attempt as newer than its state and not stop it
 * @param startedMillis fold time at which the start was recorded; 0 before that
 * @param leaseUntilMillis fold time until which entry hosts may start or renew the attempt; see
 *     {@link LeaseRules}
 * @param stop reason for which the attempt is being stopped
 * @param stoppedFor urgent job for which the attempt is preempted; empty if none
 * @param throttlePercent percentage of its reserved processors that the attempt may use
 */
public record Attempt(
    int number,
    String worker,
    long boot,
    JobSize size,
    long placedMillis,
    long placedOffset,
    long startedMillis,
    long leaseUntilMillis,
    Stop stop,
    String stoppedFor,
    int throttlePercent) {
  /** Reason for which an attempt is being stopped. */
  public enum Stop {
    NONE,
    CANCEL,
    PREEMPT,
    /** The worker is being drained. */
    DRAIN
  }

  Attempt withStarted(long millis) {
    return with(millis, leaseUntilMillis, stop, stoppedFor, throttlePercent);
  }

  Attempt withLeaseUntil(long millis) {
    return with(startedMillis, millis, stop, stoppedFor, throttlePercent);
  }

  Attempt withStop(Stop reason, String forJob) {
    return with(startedMillis, leaseUntilMillis, reason, forJob, throttlePercent);
  }

  Attempt withThrottle(int percent) {
    return with(startedMillis, leaseUntilMillis, stop, stoppedFor, percent);
  }

  private Attempt with(long started, long until, Stop reason, String forJob, int percent) {
    return new Attempt(
        number,
        worker,
        boot,
        size,
        placedMillis,
        placedOffset,
        started,
        until,
        reason,
        forJob,
        percent);
  }
}
