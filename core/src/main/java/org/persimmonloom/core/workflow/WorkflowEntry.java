package org.persimmonloom.core.workflow;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Entry of a workflow in a {@link WorkflowTable}, which owns it. Not thread-safe. */
public final class WorkflowEntry {
  private final String id;
  private final TreeMap<Integer, OccurrenceProgress> progress = new TreeMap<>();

  /** Number of occurrences in each state; kept so that a record takes no scan of all of them. */
  private final Map<WorkflowState, Integer> counts = new EnumMap<>(WorkflowState.class);

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
    copy.counts.putAll(counts);
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
    if (progress.isEmpty()) {
      return WorkflowState.PENDING;
    }
    if (count(WorkflowState.FAILED) + count(WorkflowState.CANCELLED) > 0) {
      return firstUnsuccessfulState();
    }
    int expected = spec == null ? progress.size() : spec.occurrences();
    boolean complete =
        progress.size() == expected && count(WorkflowState.COMPLETE) == progress.size();
    return complete ? WorkflowState.COMPLETE : WorkflowState.ACTIVE;
  }

  private WorkflowState firstUnsuccessfulState() {
    return progress.values().stream()
        .map(OccurrenceProgress::state)
        .filter(state -> state == WorkflowState.FAILED || state == WorkflowState.CANCELLED)
        .findFirst()
        .orElseThrow();
  }

  private int count(WorkflowState state) {
    return counts.getOrDefault(state, 0);
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
    OccurrenceProgress previous = progress.put(occurrence, recorded);
    if (previous != null) {
      counts.merge(previous.state(), -1, Integer::sum);
    }
    counts.merge(recorded.state(), 1, Integer::sum);
    if (finalOffset < 0 && recordedState().isFinal()) {
      finalOffset = offset;
    }
  }

  void removeProgress(int occurrence) {
    OccurrenceProgress removed = progress.remove(occurrence);
    if (removed != null) {
      counts.merge(removed.state(), -1, Integer::sum);
    }
  }

  boolean isEmpty() {
    return spec == null && progress.isEmpty() && !isCancelled();
  }
}
