package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.BudgetDefinition;
import org.persimmonloom.core.result.ResultCode;

class MaintenancePlanTest {
  private static final int WORKERS = 4_200;
  private static final int POOLS = 248;
  private static final long REBOOT_MILLIS = 15 * 60_000;

  private static MaintenancePlan.Budgets budgets(BudgetDefinition... definitions) {
    return new MaintenancePlan.Budgets() {
      @Override
      public List<BudgetGroup> groupsOf(Host host) {
        List<BudgetGroup> groups = new ArrayList<>();
        for (BudgetDefinition definition : definitions) {
          groups.add(BudgetGroup.of(definition, host, host.pool()));
        }
        return groups;
      }

      @Override
      public int unplanned(BudgetGroup group) {
        return 0;
      }
    };
  }

  private static BudgetDefinition budgetForEveryPool(BudgetDefinition.Domain domain, int max) {
    return new BudgetDefinition("b", BudgetDefinition.EVERY_POOL, domain, max);
  }

  private static Host host(String name, String pool, String rack) {
    HostFacts facts =
        new HostFacts(name, HostKind.WORKER, "10.0.0.1:1", rack, "dc", "r", 16, 1, 0, pool);
    return new Host(facts, pool, HostState.AVAILABLE, 0, 0);
  }

  /** Guards against a plan that ignores the rack order or a budget. */
  @Test
  void roundsFollowRacksAndBudgets() {
    List<Host> hosts =
        List.of(
            host("h1", "a", "r1"),
            host("h2", "a", "r1"),
            host("h3", "a", "r1"),
            host("h4", "a", "r2"),
            host("h5", "b", "r2"));
    BudgetDefinition poolBudget = budgetForEveryPool(BudgetDefinition.Domain.POOL, 2);
    assertThat(MaintenancePlan.of(hosts, budgets(poolBudget), 9, 0, 1).get().rounds()).isEqualTo(3);
    assertThat(MaintenancePlan.of(hosts, budgets(poolBudget), 1, 0, 1).get().rounds()).isEqualTo(5);
    BudgetDefinition rackBudget = budgetForEveryPool(BudgetDefinition.Domain.RACK, 1);
    assertThat(MaintenancePlan.of(hosts, budgets(poolBudget, rackBudget), 9, 0, 1).get().rounds())
        .isEqualTo(4);
    BudgetDefinition zeroBudget = budgetForEveryPool(BudgetDefinition.Domain.POOL, 0);
    assertThat(MaintenancePlan.of(hosts, budgets(zeroBudget), 9, 0, 1).getLeft().code())
        .isEqualTo(ResultCode.BUDGET_EXHAUSTED);
  }

  /**
   * Guards against a plan that does not maintain the projected fleet in time within its budgets.
   */
  @Test
  void everyWorkerIsMaintainedOnceInThreeWeeks() {
    List<Host> hosts = new ArrayList<>();
    for (int index = 0; index < WORKERS; index++) {
      hosts.add(host("w" + index, "p" + index % POOLS, "r" + index / 40));
    }
    MaintenancePlan.Budgets oneHostPerPool =
        budgets(budgetForEveryPool(BudgetDefinition.Domain.POOL, 1));
    MaintenancePlan plan =
        MaintenancePlan.of(hosts, oneHostPerPool, 8, REBOOT_MILLIS, MaintenancePlan.CYCLE_MILLIS)
            .get();
    assertThat(plan.fits()).isTrue();
    assertThat(plan.hostsPerDay()).isEqualTo(200.0);
    assertThat(plan.neededMillis()).isGreaterThanOrEqualTo(WORKERS / 8 * plan.stepMillis());
    MaintenancePlan oneAtOnce =
        MaintenancePlan.of(hosts, oneHostPerPool, 1, REBOOT_MILLIS, MaintenancePlan.CYCLE_MILLIS)
            .get();
    assertThat(oneAtOnce.rounds()).isEqualTo(WORKERS);
    assertThat(oneAtOnce.fits()).isFalse();
  }

  /** Guards against accepting a wave whose window is too short. */
  @Test
  void requestWithShortWindowIsRefused() {
    FleetFixture fleet = FleetFixture.withPools(budget("all", "*", "pool", 1));
    fleet.admit("a", "r1", "h1", "h2");
    long windowMillis = 2 * MaintenancePlan.stepMillis(1_000);
    assertThat(requestWave(fleet, windowMillis - 1).code()).isEqualTo(ResultCode.WINDOW_TOO_SHORT);
    assertThat(requestWave(fleet, -1).code()).isEqualTo(ResultCode.WINDOW_TOO_SHORT);
    assertThat(requestWave(fleet, windowMillis).code()).isEqualTo(ResultCode.OK);
  }

  private static ProposalResult requestWave(FleetFixture fleet, long windowMillis) {
    return fleet.propose(
        new MaintenanceRequested(
            "w1", List.of("a"), List.of(), 0, fleet.nowMillis + windowMillis, 2, 1_000, "op"));
  }
}
