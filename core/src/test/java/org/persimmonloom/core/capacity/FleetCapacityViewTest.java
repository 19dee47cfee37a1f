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
import org.persimmonloom.core.release.BudgetDefinition.Domain;
import org.persimmonloom.core.result.ResultCode;

class FleetCapacityViewTest {
  private final FleetFixture fleet =
      FleetFixture.withPools(
          budget("whole", "*", "pool", 2)
              + budget("racks", "*", "rack", 1)
              + "[add service s]\npool = a\nslots_per_endpoint = 4\n");

  @BeforeEach
  void admit() {
    fleet.admit("a", "r1", "h1", "h2");
    fleet.admit("a", "r2", "h3", "h4");
    fleet.admit("w", "r1", "x1");
  }

  private CapacityView view() {
    return FleetCapacityView.of(fleet.state, Map.of(), List.of(), fleet.nowMillis);
  }

  private PoolView pool(String name) {
    return view().pools().stream()
        .filter(pool -> pool.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against a view whose hosts, slots or budgets differ from the fleet state. */
  @Test
  void mapsMovesLossesAndBudgets() {
    long viewOffset = view().offset();
    assertThat(fleet.resultOf(new HostMoveRequested("h1", "b", viewOffset, "t")))
        .isEqualTo(ResultCode.OK);
    assertThat(fleet.loseHost("h3")).isEqualTo(ResultCode.OK);
    PoolView a = pool("a");
    assertThat(a.slotsPerHost()).isEqualTo(4);
    assertThat(a.count(HostState.DRAINING)).isEqualTo(1);
    assertThat(a.count(HostState.LOST)).isEqualTo(1);
    assertThat(view().movingIn("b")).isEqualTo(1);
    assertThat(a.budgets())
        .containsExactlyInAnyOrder(
            new DomainBudget(Domain.POOL, "a", 2, 2),
            new DomainBudget(Domain.RACK, "dc1/r1", 1, 1),
            new DomainBudget(Domain.RACK, "dc1/r2", 1, 1));
    assertThat(pool("w").slotsPerHost()).isEqualTo(8);
    assertThat(view().offset()).isEqualTo(fleet.state.nextOffset() - 1);
  }

  /** Guards against a pool that gives up hosts because its reports are missing. */
  @Test
  void demandIsUnknownWithoutForecastUnlessPoolIsUnused() {
    assertThat(pool("a").demand()).isEqualTo(DemandForecast.UNKNOWN);
    assertThat(pool("b").demand().coverage()).isEqualTo(1);
  }

  /**
   * Guards against a running wave that the view omits, or shows in a pool that it does not cover.
   */
  @Test
  void runningWaveAppearsInItsPoolOnly() {
    fleet.requestWave("w1", 1, 1_000, "a");
    assertThat(fleet.requestDrain("h1", "w1")).isEqualTo(ResultCode.OK);
    assertThat(pool("a").isInWave()).isTrue();
    assertThat(pool("b").isInWave()).isFalse();
    assertThat(pool("a").hosts().stream().filter(HostView::awaitsMaintenance)).hasSize(3);
  }

  /**
   * Guards against a move that is dropped from the history at its end and then reversed at once.
   */
  @Test
  void endedMoveStaysInHistoryForAnHour() {
    MoveHistory history = new MoveHistory();
    fleet.resultOf(new HostMoveRequested("h1", "b", view().offset(), "t"));
    long started = fleet.nowMillis;
    history.observe(fleet.state.hosts().all(), fleet.nowMillis + 500);
    fleet.confirmDrain("h1");
    fleet.proposeDueSteps();
    history.observe(fleet.state.hosts().all(), fleet.nowMillis + 2_000);
    assertThat(history.moves()).containsExactly(new RecentMove("h1", "a", "b", started));
    history.observe(fleet.state.hosts().all(), started + 60 * 60_000L + 1);
    assertThat(fleet.host("h1").pool()).isEqualTo("b");
    assertThat(history.moves()).isEmpty();
  }
}
