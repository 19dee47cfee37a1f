package org.persimmonloom.runtime.workflow;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Removes the records of ended workflows after their retention time, during one term of ownership.
 * Confined to the owner's loop.
 */
final class EndedWorkflowRemoval {
  private static final Logger LOG = LogManager.getLogger(EndedWorkflowRemoval.class);
  private static final long REMOVAL_INTERVAL_MILLIS = 10_000;

  /** Margin on the retention time, since the clocks of hosts differ and may jump. */
  private static final long CLOCK_MARGIN_MILLIS = 60_000;

  private final FleetServices services;
  private final TableWriter writer;
  private long lastRemovalMillis;

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
        services.workflows().removals(services.wallClock().millis(), retentionMillis);
    if (!removals.isEmpty()) {
      LOG.info("event=ended_removed records={}", removals.size());
      writer.appendInParts(removals);
    }
  }
}
