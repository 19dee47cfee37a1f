package org.persimmonloom.core.scheduling;

import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Records to append together, and the run ends that may be acknowledged to workers once the records
 * are durable.
 *
 * @param records progress records of changed occurrences
 * @param ends highest end of each worker that the records cover
 */
public record ProgressBatch(List<TableRecord> records, List<EndMark> ends) {
  /**
   * Highest run end of a worker process that a batch covers.
   *
   * @param worker identifier of the worker
   * @param bornMillis Unix time at which the worker process started
   * @param number sequence number of the end
   */
  public record EndMark(String worker, long bornMillis, long number) {}

  /** Returns whether there is nothing to append or acknowledge. */
  public boolean isEmpty() {
    return records.isEmpty() && ends.isEmpty();
  }
}
