package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;

/**
 * Removes the records of ended workflows after their retention time, and the cancellations of
 * workflows that were not submitted, during one term of ownership. Confined to the owner's loop.
 */
final class EndedWorkflowRemoval {
  private static final Logger LOG = LogManager.getLogger(EndedWorkflowRemoval.class);
  private static final long REMOVAL_INTERVAL_MILLIS = 10_000;

  /** Margin on the retention time, since the clocks of hosts differ and may jump. */
  private static final long CLOCK_MARGIN_MILLIS = 60_000;

  /**
   * Time in the term for which a cancellation without a submission is kept. A host repeats a
   * submission without an answer until the store answers it, so that it may be appended after an
   * outage of minutes.
   */
  private static final long UNSUBMITTED_KEPT_MILLIS = 600_000;

  private final WorkflowRecords records = new WorkflowRecords();

  /** Cancellations of workflows that were not submitted, by the identifiers of the workflows. */
  private final Map<String, Sighting> unsubmitted = new HashMap<>();

  private final FleetServices services;
  private final TableWriter writer;
  private long lastRemovalMillis;

  /**
   * When a cancellation, which holds no time, was seen first.
   *
   * @param offset log offset of the cancellation
   * @param millis monotonic time, in ms
   */
  private record Sighting(long offset, long millis) {}

  EndedWorkflowRemoval(FleetServices services, TableWriter writer) {
    this.services = services;
    this.writer = writer;
  }

  /** Removes expired records, at most once per {@link #REMOVAL_INTERVAL_MILLIS}. */
  void removeExpired(long nowMillis) {
    if (nowMillis - lastRemovalMillis < REMOVAL_INTERVAL_MILLIS) {
      return;
    }
    lastRemovalMillis = nowMillis;
    long retentionMillis = services.scheduling().statusKeptMillis() + CLOCK_MARGIN_MILLIS;
    List<TableRecord> removals =
        new ArrayList<>(
            services.workflows().removals(services.wallClock().millis(), retentionMillis));
    removals.addAll(unsubmittedRemovals(nowMillis));
    if (!removals.isEmpty()) {
      LOG.info("event=ended_removed records={}", removals.size());
      writer.appendInParts(removals);
    }
  }

  private List<TableRecord> unsubmittedRemovals(long nowMillis) {
    // An old table may lack the submission.
    if (services.workflowFollower().ageMillis() > WorkflowSearch.MAX_REPLICA_AGE_MILLIS) {
      return List.of();
    }
    Map<String, Long> present = services.workflows().unsubmittedCancellations();
    unsubmitted.keySet().retainAll(present.keySet());
    List<TableRecord> removals = new ArrayList<>();
    present.forEach(
        (id, offset) -> {
          Sighting seen = unsubmitted.get(id);
          if (seen == null || seen.offset() != offset) {
            unsubmitted.put(id, new Sighting(offset, nowMillis));
          } else if (nowMillis - seen.millis() > UNSUBMITTED_KEPT_MILLIS) {
            removals.add(records.cancellationRemoval(id));
          }
        });
    return removals;
  }
}
