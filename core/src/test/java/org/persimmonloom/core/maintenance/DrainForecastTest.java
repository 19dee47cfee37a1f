package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.DAY_MILLIS;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.result.ResultCode;

/** Four workers in two racks, of which one may be out at a time. */
class DrainForecastTest {
  private static final long DOWN = 10 * 60_000;
  private static final long STEP = MaintenancePlan.stepMillis(DOWN);

  private final FleetFixture fleet = FleetFixture.withPools(budget("one", "w", "pool", 1));

  private void request(long startMillis, long endMillis) {
    fleet.admit("w", "r1", "w1", "w2");
    fleet.admit("w", "r2", "w3", "w4");
    ResultCode code =
        fleet.resultOf(
            new MaintenanceRequested(
                "v", List.of("w"), List.of(), startMillis, endMillis, 2, DOWN, "op"));
    assertThat(code).isEqualTo(ResultCode.OK);
  }

  private Long due(String host) {
    OptionalLong due =
        DrainForecast.of(fleet.state.waves(), fleet.state.budgets(), fleet.nowMillis)
            .nextDrainMillis(host);
    return due.isPresent() ? due.getAsLong() : null;
  }

  /** Guards against a long wave that keeps jobs from all its hosts at once. */
  @Test
  void hostsAreDueInTheOrderAndAtThePaceOfTheWave() {
    long start = fleet.nowMillis + DAY_MILLIS;
    request(start, start + DAY_MILLIS);
    assertThat(List.of(due("w1"), due("w2"), due("w3"), due("w4")))
        .containsExactly(start, start + STEP, start + 2 * STEP, start + 3 * STEP);
    assertThat(due("other")).isNull();
  }

  /** Guards against an estimate that moves on with the clock while a host is away. */
  @Test
  void nextHostIsDueWhenTheOneAwayIsBack() {
    request(fleet.nowMillis, fleet.nowMillis + DAY_MILLIS);
    fleet.proposeDueSteps();
    long grantedMillis = fleet.nowMillis;
    fleet.advanceTime(MaintenancePlan.DRAIN_MILLIS / 2);
    assertThat(List.of(due("w2"), due("w3")))
        .containsExactly(grantedMillis + STEP, grantedMillis + 2 * STEP);
    fleet.confirmDrain("w1");
    fleet.proposeDueSteps();
    final long downMillis = fleet.nowMillis;
    fleet.advanceTime(DOWN / 2);
    assertThat(due("w2")).isEqualTo(downMillis + STEP - MaintenancePlan.DRAIN_MILLIS);
    fleet.advanceTime(2 * STEP);
    assertThat(due("w2")).isEqualTo(fleet.nowMillis);
  }

  /** Guards against jobs that are kept from hosts which the wave no longer reaches. */
  @Test
  void hostsAreNotDueAfterTheLastDrainOfTheWindow() {
    long end = fleet.nowMillis + 4 * STEP;
    request(fleet.nowMillis, end);
    fleet.advanceTime(STEP / 2);
    assertThat(due("w4")).isEqualTo(end - STEP);
    fleet.advanceTime(3 * STEP);
    assertThat(due("w4")).isNull();
  }

  /** Guards against an estimate for hosts that no budget lets go. */
  @Test
  void hostsWithoutRoomInABudgetAreNotDue() {
    request(fleet.nowMillis, fleet.nowMillis + DAY_MILLIS);
    fleet.applyRelease("[release]\nname = zero\n[change budget one]\nmax_unavailable = 0\n");
    assertThat(due("w1")).isNull();
  }
}
