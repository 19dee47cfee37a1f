package org.persimmonloom.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.maintenance.FleetFixture;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.ServiceLoad;

/** Runs the cycle of an entry host: observe demand, plan, propose and fold. */
class CapacityLoopTest {
  private static final long ROUND_MILLIS = 2_000;

  /**
   * Load of each entry host in slots. The load of both requires 5 hosts of 4 slots. With even
   * weights a pool must lack more than 1.25 hosts to receive one, so 3 hosts are too few and 4 are
   * enough.
   */
  private static final int SLOTS_PER_ENTRY_HOST = 10;

  private final FleetFixture fleet =
      FleetFixture.withPools(
          "[add pool spare]\nkind = executors\nspare = true\n"
              + budget("all", "*", "pool", 2)
              + "[add service s]\npool = a\nslots_per_endpoint = 4\n");
  private final DemandObserver demand = new DemandObserver(CapacityFixtures.SETTINGS);
  private final MoveHistory history = new MoveHistory();
  private final TrendPolicy policy = new TrendPolicy(CapacityFixtures.SETTINGS);

  @BeforeEach
  void admit() {
    fleet.admit("a", "r1", "a1", "a2", "a3");
    fleet.admit("spare", "r1", "s1", "s2", "s3", "s4", "s5", "s6");
  }

  private CapacityPlan runRound(Map<String, Map<String, ServiceLoad>> loads) {
    fleet.advanceTime(ROUND_MILLIS);
    demand.observe(PoolDemand.read(fleet.state, loads), fleet.nowMillis);
    history.observe(fleet.state.hosts().all(), fleet.nowMillis);
    CapacityView view =
        FleetCapacityView.of(
            fleet.state, demand.forecasts(fleet.nowMillis), history.moves(), fleet.nowMillis);
    return policy.plan(view, fleet.nowMillis);
  }

  private static Map<String, Map<String, ServiceLoad>> loads(int slotsPerEntryHost) {
    Map<String, ServiceLoad> loads = Map.of("s", new ServiceLoad(0, slotsPerEntryHost));
    return Map.of("e1", loads, "e2", loads);
  }

  private CapacityPlan firstPlanWithMove() {
    for (int i = 0; i < 2 * CapacityFixtures.WINDOW_MILLIS / ROUND_MILLIS; i++) {
      CapacityPlan plan = runRound(loads(SLOTS_PER_ENTRY_HOST));
      if (!plan.moves().isEmpty()) {
        return plan;
      }
    }
    throw new AssertionError("no move proposed although the pool requires 5 hosts and has 3");
  }

  private ResultCode propose(ProposedMove move) {
    return fleet.resultOf(
        new HostMoveRequested(move.host(), move.toPool(), move.basedOnOffset(), move.reason()));
  }

  /** Guards against a second move for a shortfall that a move in progress or ended covers. */
  @Test
  void shortfallStartsOnlyOneMove() {
    ProposedMove move = firstPlanWithMove().moves().get(0);
    assertThat(move.fromPool()).isEqualTo("spare");
    assertThat(move.toPool()).isEqualTo("a");
    assertThat(propose(move)).isEqualTo(ResultCode.OK);
    assertThat(propose(new ProposedMove("s6", "spare", "a", move.basedOnOffset(), "other planner")))
        .isEqualTo(ResultCode.PLAN_STALE);
    for (int i = 0; i < CapacityFixtures.WINDOW_MILLIS / ROUND_MILLIS; i++) {
      assertThat(runRound(loads(SLOTS_PER_ENTRY_HOST)).moves()).isEmpty();
      assertThat(fleet.state.poolStatuses()).allMatch(pool -> pool.budgetRoom() >= 0);
      if (i == 30) {
        fleet.confirmDrain(move.host());
        fleet.proposeDueSteps();
      }
    }
    assertThat(fleet.host(move.host()).pool()).isEqualTo("a");
    assertThat(fleet.stateOf(move.host())).isEqualTo(HostState.AVAILABLE);
  }

  /** Guards against moves planned from the loads of only some entry hosts. */
  @Test
  void noMoveWhileAnEntryHostReportsNoLoad() {
    Map<String, Map<String, ServiceLoad>> partialLoads =
        Map.of("e1", loads(SLOTS_PER_ENTRY_HOST).get("e1"));
    for (int i = 0; i < 2 * CapacityFixtures.WINDOW_MILLIS / ROUND_MILLIS; i++) {
      assertThat(runRound(partialLoads).moves()).isEqualTo(List.of());
    }
  }
}
