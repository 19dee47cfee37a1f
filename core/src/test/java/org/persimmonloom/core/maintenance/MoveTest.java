package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.result.ResultCode;

class MoveTest {
  private final FleetFixture fleet = FleetFixture.withPools(budget("all", "*", "pool", 1));
  private long plan;

  @BeforeEach
  void admit() {
    fleet.admit("a", "r1", "h1", "h2");
    fleet.admit("b", "r1", "x1");
    plan = fleet.state.nextOffset() - 1;
  }

  private ResultCode move(String host, String target, long basedOn) {
    return fleet.resultOf(new HostMoveRequested(host, target, basedOn, "test"));
  }

  /** Guards against a host in two pools, or in none, during a move. */
  @Test
  void hostStaysInItsPoolUntilMoved() {
    assertThat(move("h1", "b", plan)).isEqualTo(ResultCode.OK);
    fleet.confirmDrain("h1");
    assertThat(fleet.host("h1").pool()).isEqualTo("a");
    assertThat(fleet.state.poolStatus("b").orElseThrow().movingIn()).isEqualTo(1);
    assertThat(fleet.state.poolStatus("a").orElseThrow().budgetRoom()).isZero();
    long drain = fleet.host("h1").drain().offset();
    assertThat(fleet.resultOf(new HostMoved("h1", drain))).isEqualTo(ResultCode.OK);
    assertThat(fleet.resultOf(new HostMoved("h1", drain)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    assertThat(fleet.host("h1").pool()).isEqualTo("b");
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(fleet.state.hosts().hostCount("a")).isEqualTo(1);
  }

  /** Guards against two planners that act on the same view. */
  @Test
  void planIsStaleAfterEitherPoolChanged() {
    fleet.loseHost("x1");
    assertThat(move("h1", "b", plan)).isEqualTo(ResultCode.PLAN_STALE);
    plan = fleet.state.nextOffset() - 1;
    assertThat(move("h1", "b", plan)).isEqualTo(ResultCode.OK);
    assertThat(move("h2", "b", plan)).isEqualTo(ResultCode.PLAN_STALE);
    assertThat(move("h2", "b", fleet.state.nextOffset() - 1))
        .isEqualTo(ResultCode.BUDGET_EXHAUSTED);
  }

  /** Guards against moves to a pool of another kind, of hosts in waves, and to the same pool. */
  @Test
  void refusedByKindWaveAndTarget() {
    assertThat(move("h1", "w", plan)).isEqualTo(ResultCode.MOVE_REFUSED);
    assertThat(move("h1", "a", plan)).isEqualTo(ResultCode.MOVE_REFUSED);
    assertThat(move("h1", "none", plan)).isEqualTo(ResultCode.POOL_UNKNOWN);
    assertThat(move("none", "b", plan)).isEqualTo(ResultCode.HOST_UNKNOWN);
    fleet.requestWave("w1", 1, 1_000, "a");
    assertThat(move("h1", "b", fleet.state.nextOffset())).isEqualTo(ResultCode.MOVE_REFUSED);
  }

  /** Guards against a move that ends in a pool that no longer exists. */
  @Test
  void withdrawnTargetCancelsMove() {
    fleet.admit("a", "r1", "h3");
    plan = fleet.state.nextOffset() - 1;
    fleet.applyRelease("[release]\nname = c\n[add pool c]\nkind = executors\n");
    assertThat(move("h1", "c", plan)).isEqualTo(ResultCode.OK);
    fleet.confirmDrain("h1");
    long drain = fleet.host("h1").drain().offset();
    fleet.applyRelease("[release]\nname = d\n[withdraw pool c]\n");
    assertThat(fleet.resultOf(new HostMoved("h1", drain))).isEqualTo(ResultCode.POOL_UNKNOWN);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(fleet.host("h1").pool()).isEqualTo("a");
  }

  /** Guards against a move that completes while losses have used up the old pool's budget. */
  @Test
  void budgetIsCheckedAgainAtTheMove() {
    move("h1", "b", plan);
    fleet.confirmDrain("h1");
    fleet.loseHost("h2");
    assertThat(fleet.resultOf(new HostMoved("h1", fleet.host("h1").drain().offset())))
        .isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
  }
}
