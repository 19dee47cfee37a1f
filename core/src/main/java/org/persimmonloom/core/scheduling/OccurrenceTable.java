package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowLimits;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/**
 * Table of the occurrences that have not ended; tracks which occurrences have unrecorded changes.
 * Not thread-safe.
 */
final class OccurrenceTable {
  /** Upper limit of the age of workflows that were submitted before this owner's term, in ms. */
  private static final long MAX_BACKLOG_AGE_MILLIS = 60_000;

  /**
   * Maximum occurrences and tasks whose records are taken at once. They bound the time of a pass
   * when many occurrences change together, such as those of a series that is cancelled.
   */
  static final int MAX_TAKEN_OCCURRENCES = 2_000;

  private static final int MAX_TAKEN_TASKS = WorkflowLimits.MAX_TASKS;

  private final Map<String, List<OccurrenceState>> workflows = new HashMap<>();

  /** Workflows that have ended, but whose older records may still be read from the log. */
  private final Set<String> ended = new HashSet<>();

  /**
   * Records that undo repeated submissions in the log, by workflow. Only the newest submission of a
   * workflow is kept there, and a later owner would take it for the one that has begun.
   */
  private final Map<String, TableRecord> corrections = new LinkedHashMap<>();

  private final WorkArrivals arrivals = new WorkArrivals();
  private final Set<OccurrenceState> dirty = new LinkedHashSet<>();

  /** Number of occurrences with unrecorded changes, by workflow. */
  private final Map<String, Integer> dirtyCounts = new HashMap<>();

  private final WorkflowRecords records = new WorkflowRecords();
  private Map<String, QueuePolicy> policies = Map.of();
  private final Set<String> reroutedQueues = new HashSet<>();

  /**
   * Applies the policies of the queues. An earlier owner that does not know of its replacement may
   * have started tasks without a record on another service of a rerouted queue, so that its
   * workflows wait for the silent workers of all services.
   */
  void configure(Map<String, QueuePolicy> queues, Set<String> rerouted) {
    policies = Map.copyOf(queues);
    reroutedQueues.addAll(rerouted);
    for (List<OccurrenceState> occurrences : workflows.values()) {
      occurrences.forEach(this::applyPolicy);
    }
  }

  private void applyPolicy(OccurrenceState occurrence) {
    WorkflowSpec spec = occurrence.spec;
    occurrence.setPolicy(policy(spec), reroutedQueues.contains(spec.policy().queue()));
  }

  /**
   * Returns the current policy of a workflow's queue, or the policy at submission if the queue was
   * withdrawn.
   */
  QueuePolicy policy(WorkflowSpec spec) {
    return policies.getOrDefault(spec.policy().queue(), spec.policy());
  }

  /** Applies a change of the workflow table; see {@link FleetScheduler#workflowChanged}. */
  void workflowChanged(WorkflowEntry entry, long nowMillis, long wallMillis, boolean isBacklog) {
    if (ended.contains(entry.id())) {
      if (entry.spec().isEmpty()) {
        ended.remove(entry.id());
      }
      return;
    }
    List<OccurrenceState> known = workflows.get(entry.id());
    if (known == null && entry.spec().isPresent() && isOver(entry, isBacklog)) {
      corrections.put(entry.id(), records.submissionRemoval(entry.id()));
      ended.add(entry.id());
    } else if (entry.state() == WorkflowState.CANCELLED) {
      cancel(entry, known, nowMillis);
    } else if (known != null) {
      known.stream().findFirst().ifPresent(first -> keepFirst(first.spec, entry));
    } else if (entry.spec().isPresent()) {
      WorkflowSpec spec = entry.spec().get();
      long age = isBacklog ? wallMillis - spec.acceptedMillis() : 0;
      long submitted = nowMillis - Math.max(0, Math.min(age, MAX_BACKLOG_AGE_MILLIS));
      add(entry, submitted);
      arrivals.submitted(policy(spec).service(), spec, submitted);
    }
  }

  /**
   * Returns whether a stored submission is that of a workflow that has ended. This owner has all
   * others since their submission, so progress of one that it does not have shows that an owner has
   * ended it and removed its submission, which was repeated later.
   */
  private static boolean isOver(WorkflowEntry entry, boolean isBacklog) {
    Set<Integer> recorded = entry.recordedOccurrences();
    boolean hasEnded = recorded.stream().allMatch(number -> isEnded(entry.progress(number)));
    if (!isBacklog && !recorded.isEmpty() && hasEnded) {
      return true;
    }
    return entry.state() == WorkflowState.CANCELLED
        ? IntStream.range(0, entry.spec().orElseThrow().occurrences())
            .allMatch(number -> isEnded(entry.progress(number)))
        : entry.state().isFinal();
  }

  private static boolean isEnded(Optional<OccurrenceProgress> progress) {
    return progress.filter(recorded -> recorded.state().isFinal()).isPresent();
  }

  private void keepFirst(WorkflowSpec first, WorkflowEntry entry) {
    if (entry.spec().filter(newest -> !newest.hasSameBody(first)).isPresent()) {
      corrections.put(entry.id(), records.submission(first));
    }
  }

  private void add(WorkflowEntry entry, long submitted) {
    WorkflowSpec spec = entry.spec().orElseThrow();
    List<OccurrenceState> occurrences = new ArrayList<>();
    for (int number = 0; number < spec.occurrences(); number++) {
      Optional<OccurrenceProgress> progress = entry.progress(number);
      if (isEnded(progress)) {
        continue;
      }
      OccurrenceState occurrence =
          new OccurrenceState(spec, number, entry.submittedOffset(), submitted);
      applyPolicy(occurrence);
      progress.ifPresent(occurrence::restore);
      occurrences.add(occurrence);
    }
    workflows.put(entry.id(), occurrences);
  }

  /** Returns the work that was submitted lately. */
  WorkArrivals arrivals() {
    return arrivals;
  }

  private void cancel(WorkflowEntry entry, List<OccurrenceState> known, long nowMillis) {
    if (known != null) {
      for (OccurrenceState occurrence : known) {
        occurrence.state = WorkflowState.CANCELLED;
        occurrence.isEnded = true;
        markDirty(occurrence);
      }
      remove(entry.id());
    } else if (entry.spec().isPresent()) {
      add(entry, nowMillis);
      cancel(entry, workflows.get(entry.id()), nowMillis);
    }
  }

  /** Ends an occurrence, so that its runs are stopped; a failure also ends its siblings. */
  void end(OccurrenceState occurrence, WorkflowState state) {
    occurrence.state = state;
    occurrence.isEnded = true;
    markDirty(occurrence);
    List<OccurrenceState> siblings = workflows.get(occurrence.spec.id());
    if (siblings == null) {
      return;
    }
    siblings.remove(occurrence);
    if (state == WorkflowState.FAILED) {
      siblings.forEach(sibling -> sibling.isEnded = true);
      siblings.clear();
    }
    if (siblings.isEmpty()) {
      remove(occurrence.spec.id());
    }
  }

  private void remove(String workflow) {
    workflows.remove(workflow);
    corrections.remove(workflow);
    ended.add(workflow);
  }

  /**
   * Marks that a task of the occurrence has begun, as its worker confirms; an ordered start may
   * still be refused.
   *
   * @param occurrence the occurrence; null if it has ended or is unknown
   */
  void markBegun(OccurrenceState occurrence) {
    if (occurrence != null && occurrence.state == WorkflowState.PENDING) {
      occurrence.state = WorkflowState.ACTIVE;
      markDirty(occurrence);
    }
  }

  void markDirty(OccurrenceState occurrence) {
    if (dirty.add(occurrence)) {
      dirtyCounts.merge(occurrence.spec.id(), 1, Integer::sum);
    }
  }

  /** Returns whether some changes are not taken yet. */
  boolean hasUntakenChanges() {
    return !dirty.isEmpty();
  }

  /**
   * Returns the corrections of submissions and the records of the oldest unrecorded changes, up to
   * a limit, and marks these changes as recorded. The removal of a submission follows the last
   * record of its workflow, since the workflow could not be completed without the submission.
   */
  List<TableRecord> takeRecords(long wallMillis) {
    List<TableRecord> taken = new ArrayList<>(corrections.values());
    corrections.clear();
    int occurrences = 0;
    int tasks = 0;
    Iterator<OccurrenceState> oldest = dirty.iterator();
    while (oldest.hasNext() && occurrences < MAX_TAKEN_OCCURRENCES && tasks < MAX_TAKEN_TASKS) {
      OccurrenceState occurrence = oldest.next();
      oldest.remove();
      occurrences++;
      tasks += occurrence.tasks.length;
      String id = occurrence.spec.id();
      taken.add(records.progress(id, occurrence.number, occurrence.progress(wallMillis)));
      boolean isLast =
          dirtyCounts.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null) == null;
      if (isLast && occurrence.state.isFinal() && !workflows.containsKey(id)) {
        taken.add(records.submissionRemoval(id));
      }
    }
    return taken;
  }

  /**
   * Passes on the occurrences whose time has come. Those of a workflow are in the order of their
   * times, so that a long series costs no more than its next occurrence.
   */
  void forEachDue(long wallMillis, Consumer<OccurrenceState> consumer) {
    for (List<OccurrenceState> occurrences : workflows.values()) {
      for (OccurrenceState occurrence : occurrences) {
        if (wallMillis < occurrence.spec.dueMillis(occurrence.number)) {
          break;
        }
        consumer.accept(occurrence);
      }
    }
  }

  Collection<List<OccurrenceState>> byWorkflow() {
    return workflows.values();
  }

  /** Returns how many tasks of a service could start if there was capacity. */
  int waitingTasks(String service) {
    int waiting = 0;
    for (List<OccurrenceState> occurrences : workflows.values()) {
      for (OccurrenceState occurrence : occurrences) {
        if (occurrence.policy.service().equals(service)) {
          waiting += occurrence.waitingTasks();
        }
      }
    }
    return waiting;
  }

  /** Returns the occurrence of a task, or null if it has ended or is unknown. */
  OccurrenceState occurrence(TaskId id) {
    List<OccurrenceState> occurrences = workflows.get(id.workflow());
    if (occurrences == null) {
      return null;
    }
    for (OccurrenceState occurrence : occurrences) {
      if (occurrence.number == id.occurrence()) {
        return occurrence;
      }
    }
    return null;
  }

  /** Returns the occurrence of a step, or null if it has ended or is unknown. */
  OccurrenceState occurrence(StepId id) {
    return occurrence(new TaskId(id.workflow(), id.occurrence(), id.step(), 0));
  }

  /** Returns the step of a task, or null if its occurrence has ended or is unknown. */
  StepSpec step(TaskId id) {
    OccurrenceState occurrence = occurrence(id);
    TaskState task = occurrence == null ? null : occurrence.task(id);
    return task == null ? null : occurrence.step(task.step);
  }

  /** Returns the task, or null if its occurrence has ended or is unknown. */
  TaskState task(TaskId id) {
    OccurrenceState occurrence = occurrence(id);
    return occurrence == null ? null : occurrence.task(id);
  }
}
