package org.persimmonloom.core.workflow;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What the table holds of one workflow. Not thread-safe; owned by its {@link WorkflowTable}. */
public final class WorkflowEntry {
  private final String id;
  private final TreeMap<Integer, OccurrenceProgress> progress = new TreeMap<>();
  private WorkflowSpec spec;
  private long submittedOffset;
  private long cancelledOffset = -1;
  private long finalOffset = -1;

  WorkflowEntry(String id) {
    this.id = id;
  }

  /** Returns a copy that later changes of the table leave as it is. */
  public WorkflowEntry copy() {
    WorkflowEntry copy = new WorkflowEntry(id);
    copy.progress.putAll(progress);
    copy.spec = spec;
    copy.submittedOffset = submittedOffset;
    copy.cancelledOffset = cancelledOffset;
    copy.finalOffset = finalOffset;
    return copy;
  }

  /** Returns the identifier of the workflow. */
  public String id() {
    return id;
  }

  /** Returns the submission, which is removed some time after the workflow has ended. */
  public Optional<WorkflowSpec> spec() {
    return Optional.ofNullable(spec);
  }

  /** Returns the log offset of the submission. */
  public long submittedOffset() {
    return submittedOffset;
  }

  /** Returns whether a cancellation was recorded. */
  public boolean isCancelled() {
    return cancelledOffset >= 0;
  }

  /** Returns what is recorded of each occurrence that began. */
  public Map<Integer, OccurrenceProgress> progress() {
    return progress;
  }

  /** Returns the queue, if any record names it. */
  public Optional<String> queue() {
    if (spec != null) {
      return Optional.of(spec.policy().queue());
    }
    return progress.values().stream().findFirst().map(OccurrenceProgress::queue);
  }

  /** Returns the state that the submitter is shown; a cancellation counts from its own record. */
  public WorkflowState state() {
    WorkflowState recorded = recordedState();
    boolean endedFirst = finalOffset >= 0 && finalOffset < cancelledOffset;
    if (isCancelled() && !(recorded.isFinal() && endedFirst)) {
      return WorkflowState.CANCELLED;
    }
    return recorded;
  }

  private WorkflowState recordedState() {
    Collection<OccurrenceProgress> begun = progress.values();
    if (begun.isEmpty()) {
      return WorkflowState.PENDING;
    }
    for (OccurrenceProgress occurrence : begun) {
      if (occurrence.state() == WorkflowState.FAILED
          || occurrence.state() == WorkflowState.CANCELLED) {
        return occurrence.state();
      }
    }
    int expected = spec == null ? begun.size() : spec.occurrences();
    boolean complete =
        begun.size() == expected
            && begun.stream().allMatch(each -> each.state() == WorkflowState.COMPLETE);
    return complete ? WorkflowState.COMPLETE : WorkflowState.ACTIVE;
  }

  void submit(WorkflowSpec submitted, long offset) {
    if (spec == null) {
      submittedOffset = offset;
    }
    spec = submitted;
  }

  void removeSubmission() {
    spec = null;
  }

  void cancel(long offset) {
    if (cancelledOffset < 0) {
      cancelledOffset = offset;
    }
  }

  void removeCancellation() {
    cancelledOffset = -1;
  }

  void record(int occurrence, OccurrenceProgress recorded, long offset) {
    progress.put(occurrence, recorded);
    if (finalOffset < 0 && recordedState().isFinal()) {
      finalOffset = offset;
    }
  }

  void removeProgress(int occurrence) {
    progress.remove(occurrence);
  }

  boolean isEmpty() {
    return spec == null && progress.isEmpty() && !isCancelled();
  }
}
