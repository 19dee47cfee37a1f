package org.persimmonloom.runtime.workflow;

import org.persimmonloom.core.workflow.TableRecord;

/**
 * A record as it lies in the log.
 *
 * @param offset position in the log
 * @param record key and value
 */
public record StoredRecord(long offset, TableRecord record) {}
