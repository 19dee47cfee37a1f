package org.persimmonloom.core.scheduling;

import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Records about workers that may hold leases, to append together.
 *
 * @param records records of the workers, and removals of records
 * @param added workers that may get orders once the records are durable
 */
public record LeaseHolderBatch(List<TableRecord> records, List<WorkerFacts> added) {}
