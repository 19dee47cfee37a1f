package org.persimmonloom.tool.report;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts of requests by outcome against the objective of a service. Immutable.
 *
 * @param byOutcome requests by outcome: met, late, failed, refused or unknown
 */
public record ServiceCounts(SortedMap<String, Double> byOutcome) {
  /** The outcome that meets the objective; every other outcome spends the error budget. */
  public static final String MET = "met";

  /** No requests. */
  public static final ServiceCounts NONE = new ServiceCounts(new TreeMap<>());

  public ServiceCounts {
    byOutcome = Collections.unmodifiableSortedMap(new TreeMap<>(byOutcome));
  }

  /** Returns all requests. */
  public double total() {
    return byOutcome.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns the requests that missed the objective. */
  public double missed() {
    return total() - byOutcome.getOrDefault(MET, 0.0);
  }

  /** Returns the sum of both. */
  public ServiceCounts plus(ServiceCounts other) {
    SortedMap<String, Double> sum = new TreeMap<>(byOutcome);
    other.byOutcome.forEach((outcome, count) -> sum.merge(outcome, count, Double::sum));
    return new ServiceCounts(sum);
  }

  /**
   * Returns what was added since an earlier reading of the same counters. A counter that fell was
   * reset by a restart, so its whole value is new.
   */
  public ServiceCounts since(ServiceCounts earlier) {
    SortedMap<String, Double> added = new TreeMap<>();
    for (Map.Entry<String, Double> entry : byOutcome.entrySet()) {
      double before = earlier.byOutcome.getOrDefault(entry.getKey(), 0.0);
      boolean isReset = entry.getValue() < before;
      added.put(entry.getKey(), isReset ? entry.getValue() : entry.getValue() - before);
    }
    return new ServiceCounts(added);
  }
}
