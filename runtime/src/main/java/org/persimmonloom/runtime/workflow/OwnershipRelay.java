package org.persimmonloom.runtime.workflow;

import org.persimmonloom.core.workflow.TableRecord;

/** Appends to the ownership table through other entry hosts. Safe for any thread. */
@FunctionalInterface
interface OwnershipRelay {
  /** Appends a record if the table ends at the expected offset; blocks for a bounded time. */
  AppendResult appendAt(long expectedEnd, TableRecord record);
}
