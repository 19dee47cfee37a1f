package org.persimmonloom.runtime.workflow;

import java.util.function.Consumer;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.ProgressBatch;

/**
 * Records the progress of workflows, one batch at a time, and tells the scheduler when a batch is
 * durable. Confined to the owner's loop.
 */
final class ProgressRecorder {
  /** Minimum interval between two writes of progress. */
  private static final long RECORD_INTERVAL_MILLIS = 25;

  private final FleetServices services;
  private final TableWriter writer;
  private final Consumer<Runnable> loop;
  private final Runnable stepDown;
  private boolean isRecording;
  private long lastRecordMillis;

  /**
   * Creates the recorder of one term.
   *
   * @param loop runs a change on the owner's loop
   */
  ProgressRecorder(
      FleetServices services, TableWriter writer, Consumer<Runnable> loop, Runnable stepDown) {
    this.services = services;
    this.writer = writer;
    this.loop = loop;
    this.stepDown = stepDown;
  }

  void record(FleetScheduler scheduler, long nowMillis) {
    if (isRecording || nowMillis - lastRecordMillis < RECORD_INTERVAL_MILLIS) {
      return;
    }
    ProgressBatch batch = scheduler.takeProgress(services.wallClock().millis());
    if (batch.isEmpty()) {
      return;
    }
    lastRecordMillis = nowMillis;
    if (batch.records().isEmpty()) {
      scheduler.progressRecorded(batch);
      return;
    }
    isRecording = true;
    writer
        .append(batch.records(), Long.MAX_VALUE)
        .thenAccept(outcome -> loop.accept(() -> handleWritten(scheduler, batch, outcome)));
  }

  private void handleWritten(
      FleetScheduler scheduler, ProgressBatch batch, TableWriter.Outcome outcome) {
    isRecording = false;
    if (outcome == TableWriter.Outcome.WRITTEN) {
      scheduler.progressRecorded(batch);
    } else {
      stepDown.run();
    }
  }
}
