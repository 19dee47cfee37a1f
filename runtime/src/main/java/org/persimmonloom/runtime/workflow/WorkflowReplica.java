package org.persimmonloom.runtime.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
     * existed before the observer was set or were read in a load of the whole table.
     */
    void workflowChanged(WorkflowEntry entry, boolean isBacklog);

    /** The takeover record of an owner was read; later changes follow this record in the log. */
    default void takeoverRead(long fence) {}
  }

  private static final Logger LOG = LogManager.getLogger(WorkflowReplica.class);
  private static final Observer NO_OBSERVER = (entry, isBacklog) -> {};

  private final WorkflowRecords records = new WorkflowRecords();
  private final LeaseHolderRecords leaseHolderRecords = new LeaseHolderRecords();
  private final Map<String, WorkerFacts> leaseHolders = new HashMap<>();
  private WorkflowTable table = new WorkflowTable();
  private Observer observer = NO_OBSERVER;

  /**
   * Sets the observer, passes all workflows to it whose submission is still stored, and then each
   * change. The others have ended; they are kept to show their state, and may be many.
   */
  public synchronized void setObserver(Observer newObserver) {
    observer = newObserver;
    table.all().stream()
        .filter(entry -> entry.spec().isPresent())
        .forEach(entry -> newObserver.workflowChanged(entry, true));
  }

  /** Removes the observer, which receives no more changes. */
  public synchronized void removeObserver() {
    observer = NO_OBSERVER;
  }

  @Override
  public synchronized void apply(StoredRecord stored, boolean isBacklog) {
    OptionalLong takeover = records.takeoverFence(stored.record());
    if (takeover.isPresent()) {
      observer.takeoverRead(takeover.getAsLong());
      return;
    }
    Optional<String> leaseHolder = leaseHolderRecords.worker(stored.record());
    if (leaseHolder.isPresent()) {
      applyLeaseHolder(leaseHolder.get(), stored);
      return;
    }
    Optional<WorkflowEntry> changed = table.apply(stored.record(), stored.offset());
    // An owner knows the progress that it has recorded, and may record it for each of many
    // occurrences of a workflow.
    if (!records.isProgress(stored.record())) {
      changed.ifPresent(entry -> observer.workflowChanged(entry, isBacklog));
    }
  }

  private void applyLeaseHolder(String worker, StoredRecord stored) {
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
  public synchronized void reset() {
    table = new WorkflowTable();
    leaseHolders.clear();
  }

  /** Returns the workers that owners have recorded because they may hold leases. */
  public synchronized List<WorkerFacts> leaseHolders() {
    return List.copyOf(leaseHolders.values());
  }

  /** Returns the state of a workflow; empty if it is unknown. */
  public synchronized Optional<WorkflowState> state(String id) {
    return table.find(id).map(WorkflowEntry::state);
  }

  /** Returns the records that remove workflows which ended longer ago than {@code keptMillis}. */
  public synchronized List<TableRecord> removals(long wallMillis, long keptMillis) {
    return table.removals(wallMillis, keptMillis);
  }

  /** Returns the number of workflows of a queue without a started task. */
  public synchronized int pendingCount(String queue) {
    return table.pendingCount(queue);
  }
}
