package org.persimmonloom.core.job;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.release.BudgetDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Checks a quarantine against the availability budgets, in which quarantined workers count as
 * unavailable. Pure.
 *
 * <p>The budget checks of maintenance must count quarantined workers in the same way. Otherwise a
 * drain could be granted in addition to a quarantine and exceed a budget.
 */
public final class QuarantineBudget {
  private QuarantineBudget() {}

  /**
   * Returns the failure for the first budget that would be exceeded if {@code worker} became
   * unavailable, or empty if all budgets allow it.
   */
  public static Optional<Failure> refusal(
      Host worker,
      Collection<Host> hosts,
      Collection<BudgetDefinition> budgets,
      Predicate<String> isQuarantined) {
    for (BudgetDefinition budget : budgets) {
      if (!budget.pool().equals(BudgetDefinition.EVERY_POOL)
          && !budget.pool().equals(worker.pool())) {
        continue;
      }
      TreeSet<String> unavailable = new TreeSet<>();
      for (Host host : hosts) {
        boolean countsAsUnavailable =
            host.state().isUnavailable() || isQuarantined.test(host.name());
        if (countsAsUnavailable && isInSameDomain(budget, host, worker)) {
          unavailable.add(host.name());
        }
      }
      unavailable.add(worker.name());
      if (unavailable.size() > budget.maxUnavailable()) {
        return Optional.of(
            Failure.of(
                ResultCode.BUDGET_EXHAUSTED, budget.name(), budget.maxUnavailable(), unavailable));
      }
    }
    return Optional.empty();
  }

  private static boolean isInSameDomain(BudgetDefinition budget, Host first, Host second) {
    if (!first.pool().equals(second.pool())) {
      return false;
    }
    return switch (budget.domain()) {
      case POOL -> true;
      case RACK ->
          first.facts().rack().equals(second.facts().rack())
              && first.facts().dataCentre().equals(second.facts().dataCentre());
      case DATA_CENTRE -> first.facts().dataCentre().equals(second.facts().dataCentre());
    };
  }
}
