package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.maintenance.FleetFixture.budget;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.HostLeaving;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostRemoved;
import org.persimmonloom.core.host.HostReturned;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.host.HostsUnlisted;
import org.persimmonloom.core.host.ProbationOver;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.result.ResultCode;

class DrainTest {
  private final FleetFixture fleet = FleetFixture.withPools(budget("all", "*", "pool", 1));

  private long startDrain() {
    fleet.admit("a", "r1", "h1", "h2", "h3");
    fleet.requestWave("w1", 2, 5_000, "a");
    assertThat(fleet.requestDrain("h1", "w1")).isEqualTo(ResultCode.OK);
    return fleet.host("h1").drain().offset();
  }

  /** Guards against a host that becomes drained while an entry host may still send to it. */
  @Test
  void drainedOnlyAfterEveryLiveEntryHostConfirmed() {
    long drain = startDrain();
    assertThat(fleet.resultOf(new DrainConfirmed("h1", drain))).isEqualTo(ResultCode.OK);
    assertThat(fleet.resultOf(new DrainConfirmed("h1", drain)))
        .isEqualTo(ResultCode.ALREADY_APPLIED);
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINING);
    fleet.proposeAs("e2", 1, new DrainConfirmed("h1", drain));
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINED);
  }

  /** Guards against a drain that waits forever for an entry host that has left. */
  @Test
  void departedEntryHostNeedsNoConfirmation() {
    long drain = startDrain();
    fleet.resultOf(new DrainConfirmed("h1", drain));
    fleet.proposeAs("e2", 1, new EntryHostLeft());
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINED);
  }

  /** Guards against counting the confirmation of an earlier incarnation for the new one. */
  @Test
  void newIncarnationMustConfirmAgain() {
    long drain = startDrain();
    fleet.proposeAs("e2", 1, new DrainConfirmed("h1", drain));
    fleet.registerEntryHost("e2", 2);
    fleet.resultOf(new DrainConfirmed("h1", drain));
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINING);
    fleet.proposeAs("e2", 2, new DrainConfirmed("h1", drain));
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINED);
  }

  /** Guards against a drain completed by the restart of the last entry host to confirm it. */
  @Test
  void restartDoesNotCountAsConfirmation() {
    long drain = startDrain();
    fleet.resultOf(new DrainConfirmed("h1", drain));
    fleet.registerEntryHost("e2", 2);
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINING);
    fleet.proposeAs("e2", 2, new DrainConfirmed("h1", drain));
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINED);
  }

  /** Guards against counting the confirmation of a cancelled drain for the next drain. */
  @Test
  void confirmationCountsForItsDrainOnly() {
    long drain = startDrain();
    fleet.proposeAs("e2", 1, new DrainConfirmed("h1", drain));
    assertThat(fleet.resultOf(new DrainCancelled("h1", drain, "test"))).isEqualTo(ResultCode.OK);
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(fleet.requestDrain("h1", "w1")).isEqualTo(ResultCode.OK);
    assertThat(fleet.resultOf(new DrainConfirmed("h1", drain)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fleet.resultOf(new DrainConfirmed("h1", fleet.host("h1").drain().offset()));
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.DRAINING);
  }

  /** Guards against steps that are accepted out of order and against a shortened probation. */
  @Test
  void stepsAreAcceptedInOrderOnly() {
    startDrain();
    assertThat(fleet.takeDown("h1")).isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fleet.confirmDrain("h1");
    assertThat(fleet.takeDown("h1")).isEqualTo(ResultCode.OK);
    long down = fleet.host("h1").stateOffset();
    assertThat(fleet.resultOf(new ProbationOver("h1", down)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    assertThat(fleet.resultOf(new HostReturned("h1", down))).isEqualTo(ResultCode.OK);
    assertThat(fleet.resultOf(new HostReturned("h1", down)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    long returned = fleet.host("h1").stateOffset();
    assertThat(fleet.resultOf(new ProbationOver("h1", returned)))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fleet.advanceTime(5_000);
    assertThat(fleet.resultOf(new ProbationOver("h1", returned))).isEqualTo(ResultCode.OK);
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
    assertThat(fleet.state.waves().find("w1").orElseThrow().count(Wave.Step.DONE)).isEqualTo(1);
  }

  /** Guards against a refusal that does not name the exhausted budget and the hosts that use it. */
  @Test
  void refusalNamesBudgetAndHolders() {
    startDrain();
    ProposalResult verdict = fleet.propose(new DrainRequested("h2", "w1"));
    assertThat(verdict.code()).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    assertThat(verdict.detail()).contains("all@a").contains("allows 1").contains("h1");
  }

  /** Guards against a drain that ignores the budget used by an unplanned loss. */
  @Test
  void unplannedLossUsesBudget() {
    fleet.admit("a", "r1", "h1", "h2");
    fleet.requestWave("w1", 2, 5_000, "a");
    assertThat(fleet.loseHost("h2")).isEqualTo(ResultCode.OK);
    assertThat(fleet.requestDrain("h1", "w1"))
        .isIn(ResultCode.BUDGET_EXHAUSTED, ResultCode.WAVE_STATE_CONFLICT);
  }

  /** Guards against a reboot when losses have used up the budget during the drain. */
  @Test
  void budgetIsCheckedAgainBeforeGoingDown() {
    startDrain();
    fleet.confirmDrain("h1");
    fleet.loseHost("h2");
    assertThat(fleet.takeDown("h1")).isEqualTo(ResultCode.BUDGET_EXHAUSTED);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.AVAILABLE);
  }

  /** Guards against a rack budget that counts hosts of other racks or other pools. */
  @Test
  void rackBudgetCountsOneRackOfOnePool() {
    FleetFixture racks =
        FleetFixture.withPools(budget("p", "a", "pool", 4) + budget("r", "a", "rack", 1));
    racks.admit("a", "r1", "h1", "h2");
    racks.admit("a", "r2", "h3");
    racks.admit("b", "r1", "x1");
    racks.loseHost("x1");
    racks.loseHost("h1");
    assertThat(racks.state.budgets().check(racks.host("h2"))).isPresent();
    assertThat(racks.state.budgets().check(racks.host("h3"))).isEmpty();
  }

  /** Guards against a drain that ignores the budget used by quarantined workers. */
  @Test
  void quarantinedWorkerUsesBudget() {
    fleet.admit("w", "r1", "h1", "h2");
    AvailabilityBudgets budgets =
        new AvailabilityBudgets(fleet.state.releases()::budgets, fleet.state.hosts(), "h1"::equals);
    assertThat(budgets.check(fleet.host("h2"))).isPresent();
    assertThat(budgets.check(fleet.host("h1"))).isEmpty();
    assertThat(budgets.exhaustedByLosses()).containsKey("all@w");
  }

  /** Guards against a reboot that exceeds its expected time without an alert. */
  @Test
  void hostNotBackInTimeIsLostWithAlert() {
    startDrain();
    fleet.confirmDrain("h1");
    fleet.takeDown("h1");
    long down = fleet.host("h1").stateOffset();
    assertThat(fleet.resultOf(new HostLost("h1", down, "early")))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    fleet.advanceTime(40_001);
    fleet.proposeDueSteps();
    assertThat(fleet.stateOf("h1")).isEqualTo(HostState.LOST);
    assertThat(fleet.state.journal().alerts()).anyMatch(alert -> alert.subject().id().equals("h1"));
    assertThat(fleet.state.waves().find("w1").orElseThrow().count(Wave.Step.SKIPPED)).isEqualTo(1);
  }

  /** Guards against a leaving host that is not drained, and against removal of a host in use. */
  @Test
  void leavingHostDrainsDespiteExhaustedBudget() {
    fleet.admit("a", "r1", "h1", "h2");
    fleet.loseHost("h2");
    assertThat(fleet.resultOf(new HostLeaving("h1", fleet.host("h1").stateOffset())))
        .isEqualTo(ResultCode.OK);
    assertThat(fleet.host("h1").isUnplannedLoss()).isTrue();
    assertThat(fleet.resultOf(new HostRemoved("h1", "op")))
        .isEqualTo(ResultCode.HOST_STATE_CONFLICT);
    assertThat(fleet.resultOf(new HostRemoved("h2", "op"))).isEqualTo(ResultCode.OK);
    assertThat(fleet.state.hosts().hostCount("a")).isEqualTo(1);
  }

  /** Guards against state that is missing after a restore from a snapshot. */
  @Test
  void snapshotRestoresDrainsWavesAndJournal() {
    startDrain();
    fleet.loseHost("h3");
    fleet.resultOf(new HostsUnlisted(List.of("h2"), "rack r1", true));
    fleet.advanceTime(1_000);
    byte[] bytes = ProposalTypes.CODEC.encode(fleet.state.snapshot());
    FleetState copy = new FleetState();
    assertThat(copy.restore(ProposalTypes.CODEC.decode(bytes, FleetSnapshot.class).get()))
        .isEmpty();
    assertThat(ProposalTypes.CODEC.encode(copy.snapshot())).isEqualTo(bytes);
    assertThat(copy.hosts().find("h2").orElseThrow().isUnlisted()).isTrue();
    assertThat(copy.maintenanceSteps().dueSteps(fleet.nowMillis))
        .isEqualTo(fleet.state.maintenanceSteps().dueSteps(fleet.nowMillis));
  }
}
