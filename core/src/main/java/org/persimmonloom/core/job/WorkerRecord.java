package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * What the fold remembers of a worker.
 *
 * @param boot the latest boot
 * @param isSilent whether it stopped answering
 * @param silentOffset offset of the last record that said so
 * @param renewedMillis fold time of the last renewal
 * @param takenOffset offset of the last record that took room or placement from it
 * @param failuresInRow failed attempts since the last success
 * @param charges jobs that failed here and succeeded elsewhere, since the last success here
 * @param quarantinedMillis fold time of the quarantine, or of the last failed test; 0 if none
 * @param reason figures of the quarantine; empty if none
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
  /** Failures in a row from which a worker does not count as healthy. */
  public static final int UNHEALTHY_FAILURES = 3;

  public WorkerRecord {
    charges = List.copyOf(charges);
  }

  static WorkerRecord registered(String worker, long boot, long nowMillis) {
    return new WorkerRecord(worker, boot, false, 0, nowMillis, 0, 0, List.of(), 0, "");
  }

  /** Returns whether the worker is out of placement for its failures. */
  public boolean isQuarantined() {
    return quarantinedMillis > 0;
  }

  /** Returns whether a failure here counts against the job rather than the worker. */
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

  WorkerRecord taken(long offset) {
    return withHealth(offset, failuresInRow, charges, quarantinedMillis, reason);
  }

  /** A failed test starts the quarantine anew. */
  WorkerRecord failed(long nowMillis) {
    return withHealth(
        takenOffset, failuresInRow + 1, charges, isQuarantined() ? nowMillis : 0, reason);
  }

  /**
   * Takes back one charge, so that a worker that fails now and then is not charged forever. A test
   * that succeeded ends the quarantine.
   */
  WorkerRecord succeeded(boolean isTest) {
    if (isTest) {
      return withHealth(takenOffset, 0, List.of(), 0, "");
    }
    List<String> rest = charges.isEmpty() ? charges : charges.subList(1, charges.size());
    return withHealth(takenOffset, 0, rest, quarantinedMillis, reason);
  }

  WorkerRecord charged(String job) {
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
      long offset, int failures, List<String> charged, long quarantined, String why) {
    return new WorkerRecord(
        worker,
        boot,
        isSilent,
        silentOffset,
        renewedMillis,
        offset,
        failures,
        charged,
        quarantined,
        why);
  }
}
