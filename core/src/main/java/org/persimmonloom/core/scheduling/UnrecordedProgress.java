package org.persimmonloom.core.scheduling;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;

/**
 * Occurrences whose newest progress record could not be stored. Not thread-safe.
 *
 * <p>Their ends are not acknowledged to workers, so that a later owner reads them there.
 */
final class UnrecordedProgress {
  /** Keys of the records. */
  private final Set<String> keys = new HashSet<>();

  /** Notes that records are stored; those of them that were rejected are noted after this. */
  void recorded(Collection<TableRecord> stored) {
    keys.removeAll(stored.stream().map(TableRecord::key).toList());
  }

  /** Notes that the records with these keys can't be stored. */
  void rejected(Set<String> rejectedKeys) {
    keys.addAll(rejectedKeys);
  }

  /** Returns whether what follows from an end could not be stored. */
  boolean contains(EndedTask ended) {
    return !keys.isEmpty()
        && keys.contains(
            WorkflowRecords.progressKey(ended.task().workflow(), ended.task().occurrence()));
  }
}
