package org.persimmonloom.runtime.workflow;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.FleetScheduler;

/** Logs the state of the fleet and the load of its owner. Confined to the owner's loop. */
final class OwnerSummary {
  private static final Logger LOG = LogManager.getLogger(OwnerSummary.class);

  private final long fence;
  private final OwnerLoad load;
  private final OwnerAges ages;

  OwnerSummary(long fence, OwnerLoad load, OwnerAges ages) {
    this.fence = fence;
    this.load = load;
    this.ages = ages;
  }

  /** Logs the current state, and the load since the last call. */
  void log(FleetScheduler scheduler, int calls, int queuedOrders, long nowMillis, long wallMillis) {
    LOG.info("event=fleet fence={} {}", fence, scheduler.outline(nowMillis));
    LOG.info("event=owner_load fence={} {} {}", fence, load.takeSummary(calls, queuedOrders), ages);
    logIfAny("event=pools fence={} {}", scheduler.machines().outlinePools());
    logIfAny("event=not_started fence={} {}", scheduler.outlineNotStarted(nowMillis, wallMillis));
    logIfAny("event=waves fence={} {}", scheduler.machines().outline(nowMillis));
  }

  private void logIfAny(String format, String outline) {
    if (!outline.isEmpty()) {
      LOG.info(format, fence, outline);
    }
  }
}
