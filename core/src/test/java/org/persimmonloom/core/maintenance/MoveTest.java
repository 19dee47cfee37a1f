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
  private long planOffset;

  @BeforeEach
  void admit() {
    fleet.admit("a", "r1", "h1", "h2");
    fleet.admit("b", "r1", "x1");
    planOffset = fleet.state.nextOffset() - 1;
  }

  private ResultCode move(String host, String target, long basedOn) {
    return fleet.resultOf(new HostMoveRequested(host, target, basedOn, "test"));
  }

  /** Guards against a host that belongs to two pools, or to none, during a move. */
  @Test
  void hostStaysInItsPoolUntilMoved() {
    assertThat(move("h1", "b", planOffset)).isEqualTo(ResultCode.OK);
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

  /** Guards against accepting two plans that were computed from the same view. */
  @Test
  void planIsStaleAfterChangeOfEitherPool() {
    fleet.loseHost("x1");
    assertThat(move("h1", "b", planOffset)).isEqualTo(ResultCode.PLAN_STALE);
    planOffset = fleet.state.nextOffset() - 1;
    assertThat(move("h1", "b", planOffset)).isEqualTo(ResultCode.OK);
    assertThat(move("h2", "b", planOffset)).isEqualTo(ResultCode.PLAN_STALE);
    assertThat(move("h2", "b", fleet.state.nextOffset() - 1))
        .isEqualTo(ResultCode.BUDGET_EXHAUSTED);
  }

  /** Guards against moves to a pool of another kind, to the same pool, and of hosts in a wave. */
  @Test
  void invalidMoveIsRefused() {
    assertThat(move("h1", "w", planOffset)).isEqualTo(ResultCode.MOVE_REFUSED);
    assertThat(move("h1", "a", planOffset)).isEqualTo(ResultCode.MOVE_REFUSED);
    assertThat(move("h1", "none", planOffset)).isEqualTo(ResultCode.POOL_UNKNOWN);
    assertThat(move("none", "b", planOffset)).isEqualTo(ResultCode.HOST_UNKNOWN);
    fleet.requestWave("w1", 1, 1_000, "a");
    assertThat(move("h1", "b", fleet.state.nextOffset())).isEqualTo(ResultCode.MOVE_REFUSED);
  }

  /** Guards against a move into a pool that was withdrawn during the drain. */
  @Test
  void withdrawnTargetCancelsMove() {
    fleet.admit("a", "r1", "h3");
    planOffset = fleet.state.nextOffset() - 1;
    fleet.applyRelease("[release]\nname = c\n[add pool c]\nkind = executors\n");
    assertThat(move("h1", "c", planOffset)).isEqualTo(ResultCode.OK);
    fleet.confirmDrain("h1");
    long drain = fleet.host("h1").drain().offset();
    fleet.applyRelease("[release]\nname = d\n[withdraw pool c]\n");
    assertThat(fleet.resultOf(new HostMoved("h1", drain))).isEqualTo(ResultCode.POOL_UNKNOWN);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(fleet.host("h1").pool()).isEqualTo("a");
  }

  /** Guards against completing a move when losses have used up the budget of the old pool. */
  @Test
  void budgetIsCheckedAgainWhenMoveCompletes() {
    move("h1", "b", planOffset);
    fleet.confirmDrain("h1");
    fleet.loseHost("h2");
    assertThat(fleet.resultOf(new HostMoved("h1", fleet.host("h1").drain().offset())))
        .isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
  }
}
