package org.persimmonloom.tool.report;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One reading of the objective counters of one entry host.
 *
 * @param timeMillis when it was read, in milliseconds since the epoch
 * @param counts counts since the start of the entry host, by service
 */
public record BurnSample(
    long timeMillis, String entryHost, SortedMap<String, ServiceCounts> counts) {
  private static final String METRIC = "persimmonloom_objective_total";

  public BurnSample {
    counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
  }

  /** Returns the sample that a metrics page holds. */
  public static BurnSample of(long timeMillis, String entryHost, List<MetricSample> metrics) {
    SortedMap<String, ServiceCounts> counts = new TreeMap<>();
    for (MetricSample metric : metrics) {
      if (metric.name().equals(METRIC)) {
        SortedMap<String, Double> one = new TreeMap<>();
        one.put(metric.labels().getOrDefault("outcome", "unknown"), metric.value());
        String service = metric.labels().getOrDefault("service", "-");
        counts.merge(service, new ServiceCounts(one), ServiceCounts::plus);
      }
    }
    return new BurnSample(timeMillis, entryHost, counts);
  }

  /** Returns what each sample added to the one before it of the same entry host. */
  static List<BurnSample> increments(List<BurnSample> samples) {
    Map<String, BurnSample> last = new TreeMap<>();
    List<BurnSample> increments = new ArrayList<>();
    for (BurnSample sample : samples) {
      BurnSample before = last.put(sample.entryHost(), sample);
      if (before != null) {
        increments.add(sample.minus(before));
      }
    }
    return increments;
  }

  private BurnSample minus(BurnSample before) {
    SortedMap<String, ServiceCounts> added = new TreeMap<>();
    counts.forEach(
        (service, count) ->
            added.put(
                service, count.since(before.counts.getOrDefault(service, ServiceCounts.NONE))));
    return new BurnSample(timeMillis, entryHost, added);
  }
}
