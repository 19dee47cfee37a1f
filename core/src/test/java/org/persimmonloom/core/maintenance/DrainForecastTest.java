package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.DAY_MILLIS;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.result.ResultCode;

/** Forecasts for a wave over four workers in two racks whose budget allows one unavailable host. */
class DrainForecastTest {
  private static final long DOWN_MILLIS = 10 * 60_000;
  private static final long STEP_MILLIS = MaintenancePlan.stepMillis(DOWN_MILLIS);

  private final FleetFixture fleet = FleetFixture.withPools(budget("one", "w", "pool", 1));

  private void requestWave(long startMillis, long endMillis) {
    fleet.admit("w", "r1", "w1", "w2");
    fleet.admit("w", "r2", "w3", "w4");
    ResultCode code =
        fleet.resultOf(
            new MaintenanceRequested(
                "v", List.of("w"), List.of(), startMillis, endMillis, 2, DOWN_MILLIS, "op"));
    assertThat(code).isEqualTo(ResultCode.OK);
  }

  private Long nextDrainMillis(String host) {
    OptionalLong millis =
        DrainForecast.of(fleet.state.waves(), fleet.state.budgets(), fleet.nowMillis)
            .nextDrainMillis(host);
    return millis.isPresent() ? millis.getAsLong() : null;
  }

  /** Guards against a forecast that lets a long wave block jobs on all of its hosts at once. */
  @Test
  void drainsFollowOrderAndPaceOfWave() {
    long start = fleet.nowMillis + DAY_MILLIS;
    requestWave(start, start + DAY_MILLIS);
    assertThat(
            List.of(
                nextDrainMillis("w1"),
                nextDrainMillis("w2"),
                nextDrainMillis("w3"),
                nextDrainMillis("w4")))
        .containsExactly(
            start, start + STEP_MILLIS, start + 2 * STEP_MILLIS, start + 3 * STEP_MILLIS);
    assertThat(nextDrainMillis("other")).isNull();
  }

  /** Guards against an estimate that is postponed with the clock while a host is unavailable. */
  @Test
  void nextDrainStartsWhenUnavailableHostReturns() {
    requestWave(fleet.nowMillis, fleet.nowMillis + DAY_MILLIS);
    fleet.proposeDueSteps();
    long grantedMillis = fleet.nowMillis;
    fleet.advanceTime(MaintenancePlan.DRAIN_MILLIS / 2);
    assertThat(List.of(nextDrainMillis("w2"), nextDrainMillis("w3")))
        .containsExactly(grantedMillis + STEP_MILLIS, grantedMillis + 2 * STEP_MILLIS);
    fleet.confirmDrain("w1");
    fleet.proposeDueSteps();
    final long downMillis = fleet.nowMillis;
    fleet.advanceTime(DOWN_MILLIS / 2);
    assertThat(nextDrainMillis("w2"))
        .isEqualTo(downMillis + STEP_MILLIS - MaintenancePlan.DRAIN_MILLIS);
    fleet.advanceTime(2 * STEP_MILLIS);
    assertThat(nextDrainMillis("w2")).isEqualTo(fleet.nowMillis);
  }

  /** Guards against a forecast that blocks jobs on hosts which the wave can no longer reach. */
  @Test
  void noDrainAfterTheLastOneThatTheWindowAllows() {
    long end = fleet.nowMillis + 4 * STEP_MILLIS;
    requestWave(fleet.nowMillis, end);
    fleet.advanceTime(STEP_MILLIS / 2);
    assertThat(nextDrainMillis("w4")).isEqualTo(end - STEP_MILLIS);
    fleet.advanceTime(3 * STEP_MILLIS);
    assertThat(nextDrainMillis("w4")).isNull();
  }

  /** Guards against an estimate for hosts that no budget allows to drain. */
  @Test
  void noDrainWithoutRoomInBudget() {
    requestWave(fleet.nowMillis, fleet.nowMillis + DAY_MILLIS);
    fleet.applyRelease("[release]\nname = zero\n[change budget one]\nmax_unavailable = 0\n");
    assertThat(nextDrainMillis("w1")).isNull();
  }
}
