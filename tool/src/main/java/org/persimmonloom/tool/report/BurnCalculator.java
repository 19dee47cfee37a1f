package org.persimmonloom.tool.report;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Computes error budgets and burn rates from samples in the order of their times. Immutable.
 *
 * <p>The error budget of an objective of p percent is (100 - p) percent of the requests counted.
 * The burn rate of a window is the share of its requests that missed the objective, divided by that
 * allowance. Counters that a restart reset count from zero again.
 */
public final class BurnCalculator {
  private static final double HUNDRED = 100;

  private final SortedMap<String, Double> objectives;
  private final BurnWindows windows;

  /** Creates a calculator for objectives in percent by service. */
  public BurnCalculator(SortedMap<String, Double> objectives, BurnWindows windows) {
    this.objectives = new TreeMap<>(objectives);
    this.windows = windows;
  }

  /** Returns the budget of each service that has an objective. */
  public List<ServiceBurn> calculate(List<BurnSample> samples, long nowMillis) {
    List<BurnSample> increments = BurnSample.increments(samples);
    List<BurnSample> everything = new ArrayList<>(firsts(samples));
    everything.addAll(increments);
    return objectives.entrySet().stream()
        .map(it -> burn(it.getKey(), it.getValue(), everything, increments, nowMillis))
        .toList();
  }

  /** Returns the first sample of each entry host, which holds all it counted before. */
  private static List<BurnSample> firsts(List<BurnSample> samples) {
    Set<String> seen = new HashSet<>();
    return samples.stream().filter(it -> seen.add(it.entryHost())).toList();
  }

  private ServiceBurn burn(
      String service,
      double objectivePercent,
      List<BurnSample> everything,
      List<BurnSample> increments,
      long nowMillis) {
    ServiceCounts all = sum(service, everything, Long.MIN_VALUE, nowMillis);
    double allowance = 1 - objectivePercent / HUNDRED;
    double budget = all.total() * allowance;
    SortedMap<String, Double> spentBy = new TreeMap<>();
    all.byOutcome()
        .forEach(
            (outcome, count) -> {
              if (!outcome.equals(ServiceCounts.MET) && count > 0) {
                spentBy.put(outcome, count / all.missed());
              }
            });
    return new ServiceBurn(
        service,
        objectivePercent,
        Math.round(all.total()),
        all.total() == 0 ? 1 : 1 - all.missed() / budget,
        rate(service, increments, nowMillis - windows.shortMillis(), nowMillis),
        rate(service, increments, nowMillis - windows.longMillis(), nowMillis),
        spentBy);
  }

  /**
   * Returns the burn rate of a service from after {@code fromMillis} to {@code toMillis}; null if
   * no request falls between.
   */
  private Double rate(String service, List<BurnSample> increments, long fromMillis, long toMillis) {
    ServiceCounts window = sum(service, increments, fromMillis, toMillis);
    double allowance = 1 - objectives.get(service) / HUNDRED;
    return window.total() == 0 ? null : window.missed() / window.total() / allowance;
  }

  /** Returns the burn rate of a service over the short window at the time of each sample. */
  public SortedMap<Long, Double> history(String service, List<BurnSample> samples) {
    List<BurnSample> increments = BurnSample.increments(samples);
    SortedMap<Long, Double> rates = new TreeMap<>();
    for (BurnSample sample : increments) {
      long time = sample.timeMillis();
      Double rate = rate(service, increments, time - windows.shortMillis(), time);
      rates.put(time, rate == null ? 0 : rate);
    }
    return rates;
  }

  private static ServiceCounts sum(
      String service, List<BurnSample> increments, long fromMillis, long toMillis) {
    return increments.stream()
        .filter(it -> it.timeMillis() > fromMillis && it.timeMillis() <= toMillis)
        .map(it -> it.counts().getOrDefault(service, ServiceCounts.NONE))
        .reduce(ServiceCounts.NONE, ServiceCounts::plus);
  }
}
