package org.persimmonloom.runtime.workflow;

import org.persimmonloom.core.workflow.TableRecord;

/**
 * A record with its position in the log.
 *
 * @param offset offset in the log
 * @param record key and value
 */
public record StoredRecord(long offset, TableRecord record) {}
