package org.persimmonloom.runtime.workflow;

import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.LeaseHolderBatch;
import org.persimmonloom.core.scheduling.ProgressBatch;

/**
 * Records what the scheduler of one term must keep: the progress of workflows, and the workers that
 * may hold leases. Confined to the owner's loop.
 */
final class ProgressRecorder {
  /** Minimum interval between two writes of progress. */
  private static final long RECORD_INTERVAL_MILLIS = 25;

  private final FleetServices services;
  private final FleetScheduler scheduler;
  private final BatchRecorder<ProgressBatch> progress;
  private final BatchRecorder<LeaseHolderBatch> leaseHolders;
  private long lastRecordMillis;

  ProgressRecorder(
      FleetServices services,
      FleetScheduler scheduler,
      BatchRecorder<ProgressBatch> progress,
      BatchRecorder<LeaseHolderBatch> leaseHolders) {
    this.services = services;
    this.scheduler = scheduler;
    this.progress = progress;
    this.leaseHolders = leaseHolders;
  }

  void record(long nowMillis) {
    if (!leaseHolders.isRecording()) {
      LeaseHolderBatch batch = scheduler.takeLeaseHolders();
      if (!batch.records().isEmpty()) {
        leaseHolders.record(batch, batch.records());
      }
    }
    if (!progress.isRecording() && nowMillis - lastRecordMillis >= RECORD_INTERVAL_MILLIS) {
      ProgressBatch batch = scheduler.takeProgress(services.wallClock().millis());
      if (!batch.isEmpty()) {
        lastRecordMillis = nowMillis;
        progress.record(batch, batch.records());
      }
    }
  }
}
