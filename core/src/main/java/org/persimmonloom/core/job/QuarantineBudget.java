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
 * Counts a quarantined worker as unavailable in every budget that guards it. Pure.
 *
 * <p>The budgets of maintenance must count quarantined workers likewise, or a drain may be granted
 * on top of a quarantine.
 */
public final class QuarantineBudget {
  private QuarantineBudget() {}

  /** Returns the first budget that does not allow {@code worker} to become unavailable. */
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
      TreeSet<String> held = new TreeSet<>();
      for (Host host : hosts) {
        boolean isOut = host.state().isUnavailable() || isQuarantined.test(host.name());
        if (isOut && isCountedTogether(budget, host, worker)) {
          held.add(host.name());
        }
      }
      held.add(worker.name());
      if (held.size() > budget.maxUnavailable()) {
        return Optional.of(
            Failure.of(ResultCode.BUDGET_EXHAUSTED, budget.name(), budget.maxUnavailable(), held));
      }
    }
    return Optional.empty();
  }

  private static boolean isCountedTogether(BudgetDefinition budget, Host one, Host other) {
    if (!one.pool().equals(other.pool())) {
      return false;
    }
    return switch (budget.domain()) {
      case POOL -> true;
      case RACK ->
          one.facts().rack().equals(other.facts().rack())
              && one.facts().dataCentre().equals(other.facts().dataCentre());
      case DATA_CENTRE -> one.facts().dataCentre().equals(other.facts().dataCentre());
    };
  }
}
