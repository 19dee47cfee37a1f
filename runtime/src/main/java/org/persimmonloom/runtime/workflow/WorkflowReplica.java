package org.persimmonloom.runtime.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.LeaseHolderRecords;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowState;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * Replica of the workflow table, which also names the workers that may hold leases. Safe for any
 * thread; the observer is called under the lock.
 */
public final class WorkflowReplica implements TableFollower.Listener {
  /** Receives changes of workflows that are not an owner's own. */
  @FunctionalInterface
  public interface Observer {
    /**
     * A workflow was submitted, cancelled or removed; {@code isBacklog} is true for workflows that
     * existed before the observer was set or belong to a load of the whole table.
     */
    void workflowChanged(WorkflowEntry entry, boolean isBacklog);

    /** The takeover record of an owner was read; later changes follow this record in the log. */
    default void takeoverRead(long fence) {}
  }

  /** What the records of the table add up to. */
  private static final class Contents {
    final WorkflowTable table = new WorkflowTable();
    final Map<String, WorkerFacts> leaseHolders = new HashMap<>();

    /** Highest fence of the takeover records; 0 if there is none. */
    long takeoverFence;
  }

  private static final Logger LOG = LogManager.getLogger(WorkflowReplica.class);
  private static final Observer NO_OBSERVER = (entry, isBacklog) -> {};

  private final WorkflowRecords records = new WorkflowRecords();
  private final LeaseHolderRecords leaseHolderRecords = new LeaseHolderRecords();
  private Contents contents = new Contents();
  private Observer observer = NO_OBSERVER;

  /**
   * Sets the observer, passes the newest takeover and all workflows to it whose submission is still
   * stored, and then each change. The others have ended; they are kept to show their state, and may
   * be many.
   */
  public synchronized void setObserver(Observer newObserver) {
    observer = newObserver;
    if (contents.takeoverFence > 0) {
      newObserver.takeoverRead(contents.takeoverFence);
    }
    submitted(contents).forEach(entry -> newObserver.workflowChanged(entry, true));
  }

  /** Returns the workflows whose submission is still stored. */
  private static Stream<WorkflowEntry> submitted(Contents contents) {
    return contents.table.all().stream().filter(entry -> entry.spec().isPresent());
  }

  /** Removes the observer, which receives no more changes. */
  public synchronized void removeObserver() {
    observer = NO_OBSERVER;
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    long earlierFence = contents.takeoverFence;
    Optional<WorkflowEntry> changed = applyTo(contents, stored);
    if (contents.takeoverFence > earlierFence) {
      observer.takeoverRead(contents.takeoverFence);
    }
    // An owner knows the progress that it has recorded, and may record it for each of many
    // occurrences of a workflow.
    if (!records.isProgress(stored.record())) {
      changed.ifPresent(entry -> observer.workflowChanged(entry, false));
    }
  }

  /** Applies a record and returns the workflow that it belongs to; empty for other records. */
  private Optional<WorkflowEntry> applyTo(Contents target, StoredRecord stored) {
    OptionalLong takeover = records.takeoverFence(stored.record());
    if (takeover.isPresent()) {
      target.takeoverFence = Math.max(target.takeoverFence, takeover.getAsLong());
      return Optional.empty();
    }
    Optional<String> leaseHolder = leaseHolderRecords.worker(stored.record());
    if (leaseHolder.isPresent()) {
      applyLeaseHolder(target.leaseHolders, leaseHolder.get(), stored);
      return Optional.empty();
    }
    return target.table.apply(stored.record(), stored.offset());
  }

  private void applyLeaseHolder(
      Map<String, WorkerFacts> leaseHolders, String worker, StoredRecord stored) {
    byte[] value = stored.record().value();
    if (value == null) {
      leaseHolders.remove(worker);
      return;
    }
    leaseHolderRecords
        .read(value)
        .peek(facts -> leaseHolders.put(worker, facts))
        .peekLeft(
            failure ->
                LOG.warn(
                    "event=lease_holder_unreadable worker={} offset={} cause={}",
                    worker,
                    stored.offset(),
                    failure));
  }

  @Override
  public TableFollower.Load beginLoad() {
    Contents loaded = new Contents();
    return TableFollower.Load.of(stored -> applyTo(loaded, stored), () -> replaceContents(loaded));
  }

  private synchronized void replaceContents(Contents loaded) {
    Contents replaced = contents;
    contents = loaded;
    if (loaded.takeoverFence > replaced.takeoverFence) {
      observer.takeoverRead(loaded.takeoverFence);
    }
    submitted(loaded).forEach(entry -> observer.workflowChanged(entry, true));
    submitted(replaced)
        .map(entry -> loaded.table.find(entry.id()).orElseGet(() -> new WorkflowEntry(entry.id())))
        .filter(entry -> entry.spec().isEmpty())
        .forEach(entry -> observer.workflowChanged(entry, true));
  }

  /** Returns the workers that owners have recorded because they may hold leases. */
  public synchronized List<WorkerFacts> leaseHolders() {
    return List.copyOf(contents.leaseHolders.values());
  }

  /** Returns the state of a workflow; empty if it is unknown. */
  public synchronized Optional<WorkflowState> state(String id) {
    return contents.table.find(id).filter(WorkflowEntry::isSubmitted).map(WorkflowEntry::state);
  }

  /** Returns the records that remove workflows which ended longer ago than {@code keptMillis}. */
  public synchronized List<TableRecord> removals(long wallMillis, long keptMillis) {
    return contents.table.removals(wallMillis, keptMillis);
  }

  /** Returns the offsets of the cancellations of workflows that were not submitted. */
  public synchronized Map<String, Long> unsubmittedCancellations() {
    return contents.table.unsubmittedCancellations();
  }

  /** Returns the number of workflows of a queue without a started task. */
  public synchronized int pendingCount(String queue) {
    return contents.table.pendingCount(queue);
  }
}
