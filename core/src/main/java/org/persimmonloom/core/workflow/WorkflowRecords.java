package org.persimmonloom.core.workflow;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;

/**
 * Encodes and decodes the table records of workflows. Submissions, cancellations and the progress
 * of each occurrence have separate keys, so that submitters and the fleet owner never overwrite
 * each other's records. Immutable and thread-safe.
 */
public final class WorkflowRecords {
  private static final String SUBMISSION = "s.";
  private static final String CANCELLATION = "c.";
  private static final String PROGRESS = "p.";
  private static final String TAKEOVER = "o";

  /** Placeholder value of a cancellation, which must not be null. */
  private static final byte[] CANCELLATION_VALUE = {1};

  private final Codec codec = new Codec(Map.of());

  /** Kind of a record. */
  public enum Kind {
    SUBMISSION,
    CANCELLATION,
    PROGRESS
  }

  /**
   * The entry that a record changes.
   *
   * @param kind kind of the record
   * @param workflow identifier of the workflow
   * @param occurrence occurrence of a progress record; 0 for other kinds
   */
  public record Entry(Kind kind, String workflow, int occurrence) {}

  /** Returns the record that submits a workflow. */
  public TableRecord submission(WorkflowSpec spec) {
    return new TableRecord(SUBMISSION + spec.id(), codec.encode(spec));
  }

  /** Returns the record that cancels a workflow. */
  public TableRecord cancellation(String workflow) {
    return new TableRecord(CANCELLATION + workflow, CANCELLATION_VALUE);
  }

  /** Returns the record of an occurrence's progress. */
  public TableRecord progress(String workflow, int occurrence, OccurrenceProgress progress) {
    return new TableRecord(progressKey(workflow, occurrence), codec.encode(progress));
  }

  /**
   * Returns the first record of a new owner. Once it is written, the log rejects appends of earlier
   * owners, and an earlier owner that reads it starts no workflow that was submitted after it.
   */
  public TableRecord takeover(long fence) {
    return new TableRecord(TAKEOVER, ByteBuffer.allocate(Long.BYTES).putLong(fence).array());
  }

  /** Returns the new owner's fence from a takeover record; empty for other records. */
  public OptionalLong takeoverFence(TableRecord record) {
    byte[] value = record.value();
    boolean isTakeover =
        record.key().equals(TAKEOVER) && value != null && value.length == Long.BYTES;
    return isTakeover ? OptionalLong.of(ByteBuffer.wrap(value).getLong()) : OptionalLong.empty();
  }

  /** Returns the record that removes a submission. */
  public TableRecord submissionRemoval(String workflow) {
    return new TableRecord(SUBMISSION + workflow, null);
  }

  /** Returns the record that removes a cancellation. */
  public TableRecord cancellationRemoval(String workflow) {
    return new TableRecord(CANCELLATION + workflow, null);
  }

  /** Returns the record that removes an occurrence's progress. */
  public TableRecord progressRemoval(String workflow, int occurrence) {
    return new TableRecord(progressKey(workflow, occurrence), null);
  }

  /** Returns the key of the record of an occurrence's progress. */
  public static String progressKey(String workflow, int occurrence) {
    return PROGRESS + workflow + '.' + occurrence;
  }

  /** Parses a key; returns empty if it is not the key of a workflow record. */
  public Optional<Entry> entry(String key) {
    if (key.startsWith(SUBMISSION)) {
      return Optional.of(new Entry(Kind.SUBMISSION, key.substring(SUBMISSION.length()), 0));
    }
    if (key.startsWith(CANCELLATION)) {
      return Optional.of(new Entry(Kind.CANCELLATION, key.substring(CANCELLATION.length()), 0));
    }
    int dot = key.lastIndexOf('.');
    if (!key.startsWith(PROGRESS) || dot <= PROGRESS.length()) {
      return Optional.empty();
    }
    try {
      int occurrence = Integer.parseInt(key.substring(dot + 1));
      String workflow = key.substring(PROGRESS.length(), dot);
      return Optional.of(new Entry(Kind.PROGRESS, workflow, occurrence));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns whether a record is about the progress of an occurrence. */
  public boolean isProgress(TableRecord record) {
    return record.key().startsWith(PROGRESS);
  }

  /** Decodes the value of a submission; fails if the workflow cannot be carried out. */
  public Either<Failure, WorkflowSpec> readSubmission(byte[] value) {
    return codec
        .decode(value, WorkflowSpec.class)
        .flatMap(
            spec ->
                WorkflowLimits.violation(spec)
                    .<Either<Failure, WorkflowSpec>>map(Either::left)
                    .orElseGet(() -> Either.right(spec)));
  }

  /** Decodes the value of a progress record. */
  public Either<Failure, OccurrenceProgress> readProgress(byte[] value) {
    return codec.decode(value, OccurrenceProgress.class);
  }
}
