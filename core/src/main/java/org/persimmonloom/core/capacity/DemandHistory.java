package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The recent usage reports of one pool. Reports may arrive late, twice or out of order, so they are
 * ordered by the start of their interval. An interval without a report is unknown and never counts
 * as demand of zero. Confined to one thread.
 */
public final class DemandHistory {
  private final long retentionMillis;
  private final TreeMap<Long, DemandSample> samples = new TreeMap<>();

  /** Creates an empty history that retains reports for {@code retentionMillis}. */
  public DemandHistory(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /**
   * Adds a report. Returns false and ignores the report if it overlaps a stored report or ends
   * after {@code nowMillis}.
   */
  public boolean add(DemandSample sample, long nowMillis) {
    samples.headMap(nowMillis - retentionMillis).clear();
    Map.Entry<Long, DemandSample> previous = samples.floorEntry(sample.fromMillis());
    boolean overlapsEarlier =
        previous != null && previous.getValue().toMillis() > sample.fromMillis();
    Long nextStart = samples.ceilingKey(sample.fromMillis());
    boolean overlapsLater = nextStart != null && nextStart < sample.toMillis();
    if (overlapsEarlier || overlapsLater || sample.toMillis() > nowMillis) {
      return false;
    }
    samples.put(sample.fromMillis(), sample);
    return true;
  }

  /** Returns the stored reports, ordered by the start of their interval. */
  public List<DemandSample> samples() {
    return List.copyOf(samples.values());
  }
}
