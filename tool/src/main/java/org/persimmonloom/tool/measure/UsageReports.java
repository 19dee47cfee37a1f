package org.persimmonloom.tool.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.capacity.DemandHistory;
import org.persimmonloom.core.capacity.DemandSample;

/** Counts the work that arrives at each pool and hands reports on with a lag. */
final class UsageReports {
  private static final long KEEP = 900 * FleetSizes.SECOND;

  private final EventQueue events;
  private final FaultPlan faults;
  private final Map<SimPool, DemandHistory> histories = new HashMap<>();
  private final Map<SimPool, Double> slotMillis = new HashMap<>();

  UsageReports(EventQueue events, FaultPlan faults, List<SimPool> pools) {
    this.events = events;
    this.faults = faults;
    pools.forEach(pool -> histories.put(pool, new DemandHistory(KEEP)));
    events.every(FleetSizes.REPORT_INTERVAL, FleetSizes.REPORT_INTERVAL, () -> report(pools));
  }

  void count(Work work) {
    slotMillis.merge(work.home, work.runTime, Double::sum);
  }

  /** Returns the reports of a pool that have arrived. */
  List<DemandSample> samples(SimPool pool) {
    return histories.get(pool).samples();
  }

  private void report(List<SimPool> pools) {
    long now = events.nowMillis();
    for (SimPool pool : pools) {
      Double used = slotMillis.remove(pool);
      double slots = (used == null ? 0 : used) / FleetSizes.REPORT_INTERVAL;
      if (!faults.isReportLost(pool, now)) {
        DemandSample sample = new DemandSample(now - FleetSizes.REPORT_INTERVAL, now, slots);
        events.at(
            now + faults.reportLag(now), () -> histories.get(pool).add(sample, events.nowMillis()));
      }
    }
  }
}
