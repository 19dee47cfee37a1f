package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostRemoved;
import org.persimmonloom.core.host.HostReturned;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.result.ResultCode;

class WaveTest {
  private final FleetFixture fleet = FleetFixture.withPools(budget("all", "*", "pool", 2));

  private Wave wave(String name) {
    return fleet.state.waves().find(name).orElseThrow();
  }

  /**
   * Proposes due steps, confirms drains and returns hosts, as entry hosts do. Returns the hosts in
   * the order in which they were drained.
   */
  private List<String> runSteps(FleetFixture fixture, int steps) {
    List<String> drained = new ArrayList<>();
    for (int step = 0; step < steps; step++) {
      for (Proposal proposal : fixture.proposeDueSteps()) {
        if (proposal instanceof DrainRequested request) {
          drained.add(request.host());
        }
      }
      for (Host host : List.copyOf(fixture.state.hosts().all())) {
        if (host.state() == HostState.DRAINING) {
          fixture.confirmDrain(host.name());
        } else if (host.state() == HostState.DOWN) {
          fixture.resultOf(new HostReturned(host.name(), host.stateOffset()));
        }
        assertThat(fixture.state.poolStatus(host.pool()).orElseThrow().budgetRoom())
            .isGreaterThanOrEqualTo(0);
      }
      fixture.advanceTime(1_000);
    }
    return drained;
  }

  /** Guards against a wave that starts on a second rack before the first is done. */
  @Test
  void waveProceedsRackByRackToItsEnd() {
    fleet.admit("a", "r2", "h1", "h2");
    fleet.admit("a", "r1", "h3", "h4", "h5");
    fleet.requestWave("w1", 2, 1_000, "a");
    assertThat(runSteps(fleet, 30)).containsExactly("h3", "h4", "h5", "h1", "h2");
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.DONE);
    assertThat(wave("w1").count(Wave.Step.DONE)).isEqualTo(5);
  }

  /** Guards against overlapping waves that together exceed a budget or share a host. */
  @Test
  void overlappingWavesShareBudgetsButNoHost() {
    fleet.admit("a", "r1", "h1", "h2", "h3", "h4");
    fleet.propose(request("w1", "h1", "h2"));
    assertThat(fleet.propose(request("w2", "h2", "h3")).code()).isEqualTo(ResultCode.WAVE_CONFLICT);
    assertThat(fleet.propose(request("w2", "h3", "h4")).code()).isEqualTo(ResultCode.OK);
    assertThat(fleet.requestDrain("h1", "w1")).isEqualTo(ResultCode.OK);
    assertThat(fleet.requestDrain("h3", "w2")).isEqualTo(ResultCode.OK);
    assertThat(fleet.requestDrain("h2", "w1")).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    runSteps(fleet, 30);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.DONE);
    assertThat(wave("w2").status()).isEqualTo(WaveStatus.DONE);
  }

  private MaintenanceRequested request(String wave, String... hosts) {
    return new MaintenanceRequested(
        wave,
        List.of(),
        List.of(hosts),
        fleet.nowMillis,
        fleet.nowMillis + FleetFixture.DAY_MILLIS,
        4,
        1_000,
        "op");
  }

  /** Guards against drains that continue after their budget was lowered below them. */
  @Test
  void loweredBudgetCancelsTheLatestDrain() {
    fleet.admit("a", "r1", "h1", "h2", "h3");
    fleet.requestWave("w1", 2, 1_000, "a");
    fleet.requestDrain("h1", "w1");
    fleet.requestDrain("h2", "w1");
    fleet.applyRelease("[release]\nname = low\n[change budget all]\nmax_unavailable = 1\n");
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINING);
    assertThat(fleet.stateOf("h2")).isEqualTo(HostState.AVAILABLE);
    assertThat(runSteps(fleet, 30)).contains("h2", "h3");
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.DONE);
  }

  /**
   * Guards against drains during losses and against a pause that ends as soon as a host returns.
   */
  @Test
  void wavePausesOnLossesAndResumesWithHysteresis() {
    fleet.admit("a", "r1", "h1", "h2", "h3", "h4");
    fleet.requestWave("w1", 2, 1_000, "a");
    fleet.loseHost("h1");
    fleet.loseHost("h2");
    fleet.advanceTime(1_000);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.PAUSED);
    assertThat(wave("w1").reason()).contains("all@a").contains("h1, h2");
    fleet.resultOf(new HostReturned("h1", fleet.host("h1").stateOffset()));
    fleet.advanceTime(20_000);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(fleet.requestDrain("h3", "w1")).isEqualTo(ResultCode.WAVE_STATE_CONFLICT);
    fleet.advanceTime(PauseMonitor.RESUME_MILLIS - 1_000);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.PAUSED);
    fleet.advanceTime(2_000);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.RUNNING);
    assertThat(fleet.requestDrain("h3", "w1")).isEqualTo(ResultCode.OK);
  }

  /** Guards against losses in one pool that pause the wave in other pools. */
  @Test
  void pauseCoversOnlyTheExhaustedBudget() {
    fleet.admit("a", "r1", "h1", "h2", "h3");
    fleet.admit("b", "r1", "x1");
    fleet.requestWave("w1", 2, 1_000, "a", "b");
    fleet.loseHost("h1");
    fleet.loseHost("h2");
    fleet.advanceTime(1_000);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.RUNNING);
    assertThat(fleet.requestDrain("h3", "w1")).isEqualTo(ResultCode.WAVE_STATE_CONFLICT);
    assertThat(fleet.requestDrain("x1", "w1")).isEqualTo(ResultCode.OK);
  }

  /** Guards against a cancelled wave that leaves hosts drained or interrupts a reboot. */
  @Test
  void cancellationEndsDrainsAndLetsRebootsFinish() {
    fleet.admit("a", "r1", "h1", "h2", "h3");
    fleet.requestWave("w1", 2, 1_000, "a");
    fleet.requestDrain("h1", "w1");
    fleet.requestDrain("h2", "w1");
    fleet.confirmDrain("h1");
    fleet.takeDown("h1");
    assertThat(fleet.resultOf(new MaintenanceCancelled("w1", "op", "test")))
        .isEqualTo(ResultCode.OK);
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DOWN);
    assertThat(fleet.stateOf("h2")).isEqualTo(HostState.AVAILABLE);
    assertThat(runSteps(fleet, 5)).isEmpty();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.CANCELLED);
    assertThat(wave("w1").count(Wave.Step.SKIPPED)).isEqualTo(2);
    assertThat(wave("w1").count(Wave.Step.DONE)).isEqualTo(1);
    assertThat(fleet.resultOf(new MaintenanceCancelled("w1", "op", "again")))
        .isEqualTo(ResultCode.ALREADY_APPLIED);
  }

  /** Guards against drains outside the window or too late to end within it. */
  @Test
  void noDrainOutsideTheWindow() {
    fleet.admit("a", "r1", "h1");
    long start = fleet.nowMillis + 100_000;
    long end = start + MaintenancePlan.stepMillis(1_000);
    MaintenanceRequested request =
        new MaintenanceRequested("w1", List.of("a"), List.of(), start, end, 1, 1_000, "op");
    assertThat(fleet.resultOf(request)).isEqualTo(ResultCode.OK);
    assertThat(fleet.resultOf(request)).isEqualTo(ResultCode.ALREADY_APPLIED);
    assertThat(fleet.requestDrain("h1", "w1")).isEqualTo(ResultCode.WAVE_STATE_CONFLICT);
    fleet.advanceTime(50_000);
    fleet.advanceTime(50_001);
    assertThat(fleet.requestDrain("h1", "w1")).isEqualTo(ResultCode.WAVE_STATE_CONFLICT);
    fleet.advanceTime(1_000);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.INCOMPLETE);
  }

  /** Guards against a wave that waits forever for a host that was removed or moved. */
  @Test
  void removedHostIsSkippedAndMovedHostStaysInWave() {
    fleet.admit("a", "r1", "h1", "h2", "h3");
    long lastOffset = fleet.state.nextOffset() - 1;
    assertThat(fleet.resultOf(new HostMoveRequested("h2", "b", lastOffset, "test")))
        .isEqualTo(ResultCode.OK);
    fleet.requestWave("w1", 2, 1_000, "a");
    fleet.loseHost("h1");
    fleet.resultOf(new HostRemoved("h1", "op"));
    runSteps(fleet, 30);
    assertThat(fleet.host("h2").pool()).isEqualTo("b");
    assertThat(wave("w1").progress().get("h1").reason()).contains("removed");
    assertThat(wave("w1").count(Wave.Step.DONE)).isEqualTo(2);
    assertThat(wave("w1").status()).isEqualTo(WaveStatus.DONE);
  }
}
