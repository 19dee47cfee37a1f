package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of a worker in the fold.
 *
 * @param boot the latest boot number
 * @param isSilent whether it has stopped responding
 * @param silentOffset log offset of the last {@link WorkerSilent} record
 * @param renewedMillis fold time of the last registration or renewal
 * @param takenOffset log offset of the last record that placed an attempt at the worker or
 *     quarantined it
 * @param failuresInRow failed attempts since the last success; out-of-memory kills do not count
 * @param charges jobs that failed here and then succeeded elsewhere. Each success here removes the
 *     oldest one, and a successful test job removes all.
 * @param quarantinedMillis fold time of the quarantine, or of the last failure during it; 0 if the
 *     worker is not quarantined
 * @param reason numbers on which the quarantine is based; empty if none
 */
public record WorkerRecord(
    String worker,
    long boot,
    boolean isSilent,
    long silentOffset,
    long renewedMillis,
    long takenOffset,
    int failuresInRow,
    List<String> charges,
    long quarantinedMillis,
    String reason) {
  /** Number of consecutive failures from which a worker counts as unhealthy. */
  public static final int UNHEALTHY_FAILURES = 3;

  public WorkerRecord {
    charges = List.copyOf(charges);
  }

  static WorkerRecord registered(String worker, long boot, long nowMillis) {
    return new WorkerRecord(worker, boot, false, 0, nowMillis, 0, 0, List.of(), 0, "");
  }

  /** Returns whether the worker is excluded from placement because of failures. */
  public boolean isQuarantined() {
    return quarantinedMillis > 0;
  }

  /** Returns whether a failure here also counts against the job, not only against the worker. */
  public boolean isHealthy() {
    return !isQuarantined() && failuresInRow < UNHEALTHY_FAILURES;
  }

  WorkerRecord renewed(long nextBoot, long nowMillis) {
    return new WorkerRecord(
        worker,
        nextBoot,
        false,
        silentOffset,
        nowMillis,
        takenOffset,
        failuresInRow,
        charges,
        quarantinedMillis,
        reason);
  }

  WorkerRecord silent(long offset) {
    return new WorkerRecord(
        worker,
        boot,
        true,
        offset,
        renewedMillis,
        takenOffset,
        failuresInRow,
        charges,
        quarantinedMillis,
        reason);
  }

  WorkerRecord withTakenOffset(long offset) {
    return withHealth(offset, failuresInRow, charges, quarantinedMillis, reason);
  }

  /**
   * Records a failed attempt. A failure during a quarantine, such as a failed test job, restarts
   * the quarantine.
   */
  WorkerRecord failed(long nowMillis) {
    return withHealth(
        takenOffset, failuresInRow + 1, charges, isQuarantined() ? nowMillis : 0, reason);
  }

  /**
   * Records a successful attempt. Removes the oldest charge, so that occasional failures do not
   * accumulate. A successful test job ends the quarantine.
   */
  WorkerRecord succeeded(boolean isTest) {
    if (isTest) {
      return withHealth(takenOffset, 0, List.of(), 0, "");
    }
    List<String> rest = charges.isEmpty() ? charges : charges.subList(1, charges.size());
    return withHealth(takenOffset, 0, rest, quarantinedMillis, reason);
  }

  WorkerRecord withCharge(String job) {
    List<String> next = new ArrayList<>(charges);
    if (!next.contains(job) && next.size() < UNHEALTHY_FAILURES * 4) {
      next.add(job);
    }
    return withHealth(takenOffset, failuresInRow, next, quarantinedMillis, reason);
  }

  WorkerRecord quarantined(long offset, long nowMillis, String figures) {
    return withHealth(offset, failuresInRow, charges, nowMillis, figures);
  }

  private WorkerRecord withHealth(
      long offset, int failures, List<String> nextCharges, long quarantined, String why) {
    return new WorkerRecord(
        worker,
        boot,
        isSilent,
        silentOffset,
        renewedMillis,
        offset,
        failures,
        nextCharges,
        quarantined,
        why);
  }
}
