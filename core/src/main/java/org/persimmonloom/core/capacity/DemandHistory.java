package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The usage reports of one pool that are recent enough to be of use. Reports may arrive late, twice
 * or out of order, so they are kept by the start of their interval. An interval without a report is
 * unknown and is never counted as demand of zero. Confined to one thread.
 */
public final class DemandHistory {
  private final long keepMillis;
  private final TreeMap<Long, DemandSample> samples = new TreeMap<>();

  /** Creates an empty history that keeps reports for {@code keepMillis}. */
  public DemandHistory(long keepMillis) {
    this.keepMillis = keepMillis;
  }

  /**
   * Adds a report. Returns false if it overlaps one that is known, or claims to end after {@code
   * nowMillis}; such a report is ignored.
   */
  public boolean add(DemandSample sample, long nowMillis) {
    samples.headMap(nowMillis - keepMillis).clear();
    Map.Entry<Long, DemandSample> before = samples.floorEntry(sample.fromMillis());
    boolean overlapsEarlier = before != null && before.getValue().toMillis() > sample.fromMillis();
    Long next = samples.ceilingKey(sample.fromMillis());
    boolean overlapsLater = next != null && next < sample.toMillis();
    if (overlapsEarlier || overlapsLater || sample.toMillis() > nowMillis) {
      return false;
    }
    samples.put(sample.fromMillis(), sample);
    return true;
  }

  /** Returns the known reports by the start of their interval. */
  public List<DemandSample> samples() {
    return List.copyOf(samples.values());
  }
}
