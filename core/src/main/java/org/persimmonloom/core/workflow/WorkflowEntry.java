package org.persimmonloom.core.workflow;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.LongStream;

/**
 * Entry of a workflow in a {@link WorkflowTable}, which owns it.
 *
 * <p>The state is derived from the newest record of each key and their offsets alone, so that it
 * does not depend on which older records were read, nor on the order of reading. Not thread-safe.
 */
public final class WorkflowEntry {
  /** The newest progress record of an occurrence. */
  private record RecordedProgress(OccurrenceProgress progress, long offset) {
    WorkflowState state() {
      return progress.state();
    }

    boolean isUnsuccessful() {
      return state() == WorkflowState.FAILED || state() == WorkflowState.CANCELLED;
    }
  }

  private final String id;
  private final TreeMap<Integer, RecordedProgress> progress = new TreeMap<>();

  /** Number of occurrences in each state; kept so that a record takes no scan of all of them. */
  private final Map<WorkflowState, Integer> counts = new EnumMap<>(WorkflowState.class);

  private WorkflowSpec spec;
  private long submittedOffset;
  private long cancelledOffset = -1;

  /** Creates the entry of a workflow without records. */
  public WorkflowEntry(String id) {
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

  /** Returns the log offset of the first submission that was read; 0 if none was. */
  public long submittedOffset() {
    return submittedOffset;
  }

  /**
   * Returns whether the workflow was submitted. If not, it was cancelled while it was unknown, so
   * that a submission that follows starts nothing; it must not be shown.
   */
  public boolean isSubmitted() {
    return spec != null || !progress.isEmpty();
  }

  /** Returns the log offset of the newest cancellation; -1 if there is none. */
  long cancelledOffset() {
    return cancelledOffset;
  }

  /** Returns whether a cancellation is recorded. */
  public boolean isCancelled() {
    return cancelledOffset >= 0;
  }

  /** Returns the recorded progress of an occurrence; empty if none is recorded. */
  public Optional<OccurrenceProgress> progress(int occurrence) {
    return Optional.ofNullable(progress.get(occurrence)).map(RecordedProgress::progress);
  }

  /** Returns the numbers of the occurrences whose progress is recorded. */
  public Set<Integer> recordedOccurrences() {
    return progress.keySet();
  }

  /** Returns the Unix time of the latest change of any occurrence, in ms; 0 if none is recorded. */
  long updatedMillis() {
    return progress.values().stream()
        .mapToLong(recorded -> recorded.progress().updatedMillis())
        .max()
        .orElse(0);
  }

  /** Returns the name of the queue; empty if no record contains it. */
  public Optional<String> queue() {
    if (spec != null) {
      return Optional.of(spec.policy().queue());
    }
    return progress.values().stream().findFirst().map(recorded -> recorded.progress().queue());
  }

  /**
   * Returns the state that is shown to the submitter. A recorded cancellation takes effect at once,
   * unless the workflow had reached a final state before it.
   */
  public WorkflowState state() {
    WorkflowState recorded = recordedState();
    if (!isCancelled()) {
      return recorded;
    }
    boolean endedBeforeCancellation = recorded.isFinal() && finalOffset() < cancelledOffset;
    return endedBeforeCancellation ? recorded : WorkflowState.CANCELLED;
  }

  /** Returns the offset of the record with which the recorded state became final. */
  private long finalOffset() {
    LongStream unsuccessful = offsets(RecordedProgress::isUnsuccessful);
    return unsuccessful.min().orElseGet(() -> offsets(recorded -> true).max().orElseThrow());
  }

  private LongStream offsets(Predicate<RecordedProgress> chosen) {
    return progress.values().stream().filter(chosen).mapToLong(RecordedProgress::offset);
  }

  private WorkflowState recordedState() {
    if (count(WorkflowState.PENDING) == progress.size()) {
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
        .filter(RecordedProgress::isUnsuccessful)
        .map(RecordedProgress::state)
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
    cancelledOffset = offset;
  }

  void removeCancellation() {
    cancelledOffset = -1;
  }

  void record(int occurrence, OccurrenceProgress recorded, long offset) {
    RecordedProgress previous = progress.put(occurrence, new RecordedProgress(recorded, offset));
    if (previous != null) {
      counts.merge(previous.state(), -1, Integer::sum);
    }
    counts.merge(recorded.state(), 1, Integer::sum);
  }

  void removeProgress(int occurrence) {
    RecordedProgress removed = progress.remove(occurrence);
    if (removed != null) {
      counts.merge(removed.state(), -1, Integer::sum);
    }
  }

  boolean isEmpty() {
    return spec == null && progress.isEmpty() && !isCancelled();
  }
}
