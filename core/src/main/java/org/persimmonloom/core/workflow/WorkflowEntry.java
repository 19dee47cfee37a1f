package org.persimmonloom.core.workflow;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Entry of a workflow in a {@link WorkflowTable}, which owns it. Not thread-safe. */
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

  /** Returns a copy that later changes of the table do not affect. */
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

  /** Returns the submitted workflow; empty once the submission has been removed after the end. */
  public Optional<WorkflowSpec> spec() {
    return Optional.ofNullable(spec);
  }

  /** Returns the log offset of the submission; 0 if it was never read. */
  public long submittedOffset() {
    return submittedOffset;
  }

  /** Returns whether a cancellation is recorded. */
  public boolean isCancelled() {
    return cancelledOffset >= 0;
  }

  /**
   * Returns the recorded progress by occurrence number; only occurrences that began are present.
   */
  public Map<Integer, OccurrenceProgress> progress() {
    return progress;
  }

  /** Returns the name of the queue; empty if no record contains it. */
  public Optional<String> queue() {
    if (spec != null) {
      return Optional.of(spec.policy().queue());
    }
    return progress.values().stream().findFirst().map(OccurrenceProgress::queue);
  }

  /**
   * Returns the state that is shown to the submitter. A recorded cancellation takes effect at once,
   * unless the workflow had reached a final state before it.
   */
  public WorkflowState state() {
    WorkflowState recorded = recordedState();
    boolean endedBeforeCancellation = finalOffset >= 0 && finalOffset < cancelledOffset;
    if (isCancelled() && !(recorded.isFinal() && endedBeforeCancellation)) {
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
            && begun.stream().allMatch(occurrence -> occurrence.state() == WorkflowState.COMPLETE);
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
