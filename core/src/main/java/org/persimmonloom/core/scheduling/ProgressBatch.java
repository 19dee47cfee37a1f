package org.persimmonloom.core.scheduling;

import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Records to append together, with the ends that may be acknowledged to workers once the records
 * are durable.
 *
 * @param records records of changed occurrences
 * @param ends highest recorded end of each worker
 */
public record ProgressBatch(List<TableRecord> records, List<EndMark> ends) {
  /**
   * Highest recorded end of one life of a worker.
   *
   * @param worker identifier of the worker
   * @param bornMillis start of the worker's life
   * @param number number of the end
   */
  public record EndMark(String worker, long bornMillis, long number) {}

  /** Returns whether there is nothing to do. */
  public boolean isEmpty() {
    return records.isEmpty() && ends.isEmpty();
  }
}
