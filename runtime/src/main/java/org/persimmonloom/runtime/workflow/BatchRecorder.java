package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Records batches of an owner's changes, one at a time, and reports when a batch is durable. An
 * owner whose batch cannot be written steps down, unless the store rejects a record for good: each
 * later owner would fail at the same record, and no work of others would be recorded any more. Such
 * a record is given up alone, and reported. Confined to the owner's loop.
 *
 * @param <B> type of the batches
 */
final class BatchRecorder<B> {
  private final TableWriter writer;
  private final Consumer<Runnable> loop;
  private final Runnable stepDown;
  private final Consumer<B> whenDurable;
  private final Consumer<Set<String>> whenRejected;
  private boolean isRecording;

  /**
   * Creates the recorder of one term.
   *
   * @param loop runs a change on the owner's loop
   * @param whenDurable receives each batch once its records are durable, except for rejected ones
   * @param whenRejected receives the keys of rejected records, right after their batch
   */
  BatchRecorder(
      TableWriter writer,
      Consumer<Runnable> loop,
      Runnable stepDown,
      Consumer<B> whenDurable,
      Consumer<Set<String>> whenRejected) {
    this.writer = writer;
    this.loop = loop;
    this.stepDown = stepDown;
    this.whenDurable = whenDurable;
    this.whenRejected = whenRejected;
  }

  /** Returns whether the records of the last batch are not durable yet. */
  boolean isRecording() {
    return isRecording;
  }

  /** Records a batch; a batch without records is durable at once. */
  void record(B batch, List<TableRecord> records) {
    if (records.isEmpty()) {
      whenDurable.accept(batch);
      return;
    }
    isRecording = true;
    Set<String> rejected = ConcurrentHashMap.newKeySet();
    writer
        .appendInParts(records, record -> rejected.add(record.key()))
        .thenAccept(outcome -> loop.accept(() -> handleWritten(batch, rejected, outcome)));
  }

  private void handleWritten(B batch, Set<String> rejected, TableWriter.Outcome outcome) {
    isRecording = false;
    if (outcome == TableWriter.Outcome.WRITTEN || outcome == TableWriter.Outcome.REJECTED) {
      whenDurable.accept(batch);
      if (!rejected.isEmpty()) {
        whenRejected.accept(rejected);
      }
    } else {
      stepDown.run();
    }
  }
}
