package org.persimmonloom.core.job;

/**
 * The one live attempt of a job.
 *
 * @param number rises with each placement of the job and is never reused
 * @param boot the worker's boot at placement; a worker refuses a start meant for another boot
 * @param size what is reserved at the worker
 * @param placedOffset offset of its placement; workers report it, so that an entry host that is
 *     behind does not stop an attempt it does not know yet
 * @param startedMillis fold time at which the start was recorded; 0 before
 * @param leaseUntilMillis fold time up to which entry hosts may renew it; see {@link LeaseRules}
 * @param stop why it is being stopped
 * @param stoppedFor the urgent job that takes its place; empty if none
 * @param throttlePercent share of its processors that it may use
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
  /** Why an attempt is being stopped. */
  public enum Stop {
    NONE,
    CANCEL,
    PREEMPT,
    /** Its worker is drained. */
    DRAIN
  }

  Attempt started(long millis) {
    return with(millis, leaseUntilMillis, stop, stoppedFor, throttlePercent);
  }

  Attempt leasedUntil(long millis) {
    return with(startedMillis, millis, stop, stoppedFor, throttlePercent);
  }

  Attempt stopping(Stop reason, String forJob) {
    return with(startedMillis, leaseUntilMillis, reason, forJob, throttlePercent);
  }

  Attempt throttled(int percent) {
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
