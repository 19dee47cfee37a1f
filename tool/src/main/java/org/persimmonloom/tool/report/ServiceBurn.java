package org.persimmonloom.tool.report;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The error budget of one service.
 *
 * @param objectivePercent share of requests that must meet the objective
 * @param requests requests counted
 * @param budgetLeft share of the error budget that is left: 1 if nothing is spent, negative if
 *     overspent
 * @param shortBurnRate burn rate over the short window; 1 spends exactly the budget, null without
 *     requests in the window
 * @param longBurnRate burn rate over the long window, likewise
 * @param spentBy share of the spent budget by outcome
 */
public record ServiceBurn(
    String service,
    double objectivePercent,
    long requests,
    double budgetLeft,
    Double shortBurnRate,
    Double longBurnRate,
    SortedMap<String, Double> spentBy) {
  public ServiceBurn {
    spentBy = Collections.unmodifiableSortedMap(new TreeMap<>(spentBy));
  }
}
