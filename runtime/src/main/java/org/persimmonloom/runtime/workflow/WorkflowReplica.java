package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowState;
import org.persimmonloom.core.workflow.WorkflowTable;

/** The workflow table of this host. Safe for any thread; the observer is called under the lock. */
public final class WorkflowReplica implements TableFollower.Listener {
  /** Hears of changes of workflows. */
  @FunctionalInterface
  public interface Observer {
    /** A workflow has changed; {@code isBacklog} is true for those that were there before. */
    void changed(WorkflowEntry entry, boolean isBacklog);

    /** An owner with the given fence has taken over; later changes follow its record. */
    default void takenOver(long fence) {}
  }

  private static final Observer NOBODY = (entry, isBacklog) -> {};

  private final WorkflowRecords records = new WorkflowRecords();
  private WorkflowTable table = new WorkflowTable();
  private Observer observer = NOBODY;

  /** Gives all workflows to the observer, then each change. */
  public synchronized void observe(Observer changes) {
    observer = changes;
    table.all().forEach(entry -> changes.changed(entry, true));
  }

  /** Gives no more changes to the observer. */
  public synchronized void ignore() {
    observer = NOBODY;
  }

  @Override
  public synchronized void apply(StoredRecord stored, boolean isBacklog) {
    OptionalLong takeover = records.takeoverFence(stored.record());
    if (takeover.isPresent()) {
      observer.takenOver(takeover.getAsLong());
      return;
    }
    table
        .apply(stored.record(), stored.offset())
        .ifPresent(entry -> observer.changed(entry, isBacklog));
  }

  @Override
  public synchronized void restart() {
    table = new WorkflowTable();
  }

  /** Returns the state of a workflow; empty if it is unknown. */
  public synchronized Optional<WorkflowState> state(String id) {
    return table.find(id).map(WorkflowEntry::state);
  }

  /** Returns the records that remove workflows which ended longer ago than {@code keptMillis}. */
  public synchronized List<TableRecord> removals(long wallMillis, long keptMillis) {
    return table.removals(wallMillis, keptMillis);
  }

  /** Returns how many workflows of a queue have no started task. */
  public synchronized int waiting(String queue) {
    return table.pendingCount(queue);
  }
}
