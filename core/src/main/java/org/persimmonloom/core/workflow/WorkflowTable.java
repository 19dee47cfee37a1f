package org.persimmonloom.core.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Table of all workflows, folded from the keyed records of the platform log.
 *
 * <p>Applying the newest record of each key in any order, followed by the later records of the log,
 * yields the same table as applying the whole log. Not thread-safe.
 */
public final class WorkflowTable {
  private final WorkflowRecords records = new WorkflowRecords();
  private final Map<String, WorkflowEntry> entries = new HashMap<>();
  private long unreadableCount;

  /**
   * Applies a record and returns the workflow that it belongs to; empty if the key is unknown. A
   * known key with an unreadable value changes nothing, apart from the count of unreadable records.
   */
  public Optional<WorkflowEntry> apply(TableRecord record, long offset) {
    Optional<WorkflowRecords.Entry> target = records.entry(record.key());
    if (target.isEmpty()) {
      unreadableCount++;
      return Optional.empty();
    }
    String id = target.get().workflow();
    WorkflowEntry entry = entries.computeIfAbsent(id, WorkflowEntry::new);
    change(entry, target.get(), record.value(), offset);
    if (entry.isEmpty()) {
      entries.remove(id);
    }
    return Optional.of(entry);
  }

  private void change(
      WorkflowEntry entry, WorkflowRecords.Entry target, byte[] value, long offset) {
    switch (target.kind()) {
      case SUBMISSION -> {
        if (value == null) {
          entry.removeSubmission();
        } else {
          records
              .readSubmission(value)
              .filterOrElse(
                  spec -> spec.id().equals(entry.id()),
                  spec -> Failure.of(ResultCode.DECODE_FAILED, "another workflow"))
              .peek(spec -> entry.submit(spec, offset))
              .peekLeft(failure -> unreadableCount++);
        }
      }
      case CANCELLATION -> {
        if (value == null) {
          entry.removeCancellation();
        } else {
          entry.cancel(offset);
        }
      }
      case PROGRESS -> {
        if (value == null) {
          entry.removeProgress(target.occurrence());
        } else {
          records
              .readProgress(value)
              .peek(progress -> entry.record(target.occurrence(), progress, offset))
              .peekLeft(failure -> unreadableCount++);
        }
      }
      default -> throw new AssertionError(target.kind());
    }
  }

  /** Returns the workflow with the given identifier; empty if there is none. */
  public Optional<WorkflowEntry> find(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /** Returns all workflows, in no particular order. */
  public Collection<WorkflowEntry> all() {
    return entries.values();
  }

  /** Returns how many submitted workflows of a queue have no started task. */
  public int pendingCount(String queue) {
    int pending = 0;
    for (WorkflowEntry entry : entries.values()) {
      if (entry.spec().isPresent()
          && entry.state() == WorkflowState.PENDING
          && queue.equals(entry.queue().orElse(""))) {
        pending++;
      }
    }
    return pending;
  }

  /**
   * Returns the records that remove workflows whose retention time after their end has passed. A
   * cancellation stays, so that a submission that is appended later starts nothing; see {@link
   * #unsubmittedCancellations}.
   *
   * @param wallMillis current Unix time
   * @param keptMillis retention time of an ended workflow
   */
  public List<TableRecord> removals(long wallMillis, long keptMillis) {
    List<TableRecord> removals = new ArrayList<>();
    for (WorkflowEntry entry : entries.values()) {
      if (entry.spec().isPresent()
          || entry.recordedOccurrences().isEmpty()
          || !entry.state().isFinal()) {
        continue;
      }
      if (wallMillis - entry.updatedMillis() > keptMillis) {
        entry
            .recordedOccurrences()
            .forEach(number -> removals.add(records.progressRemoval(entry.id(), number)));
      }
    }
    return removals;
  }

  /**
   * Returns the log offsets of the cancellations of workflows that were not submitted, by the
   * identifiers of the workflows.
   */
  public Map<String, Long> unsubmittedCancellations() {
    Map<String, Long> offsets = new HashMap<>();
    for (WorkflowEntry entry : entries.values()) {
      if (!entry.isSubmitted()) {
        offsets.put(entry.id(), entry.cancelledOffset());
      }
    }
    return offsets;
  }

  /** Returns the number of records that could not be decoded. */
  public long unreadableCount() {
    return unreadableCount;
  }
}
