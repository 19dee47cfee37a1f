package org.persimmonloom.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostLeaving;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostRemoved;
import org.persimmonloom.core.host.HostReturned;
import org.persimmonloom.core.host.HostsUnlisted;
import org.persimmonloom.core.host.ProbationOver;
import org.persimmonloom.core.job.FailureCause;
import org.persimmonloom.core.job.JobCancelled;
import org.persimmonloom.core.job.JobFailed;
import org.persimmonloom.core.job.JobFinished;
import org.persimmonloom.core.job.JobLeaseExpired;
import org.persimmonloom.core.job.JobPlaced;
import org.persimmonloom.core.job.JobStarted;
import org.persimmonloom.core.job.JobStopped;
import org.persimmonloom.core.maintenance.MaintenanceCancelled;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.release.ReleaseProposed;

/**
 * Runs random proposals of every kind through one log. Guards against an accepted step that exceeds
 * a budget, a host in no pool or in two pools, a release revision that decreases, a job with two
 * live attempts, and replicas or restored snapshots that differ.
 */
class FleetFuzzTest {
  private static final int MAX_STEPS = 120;
  private static final Set<Class<?>> ACCEPTED = new HashSet<>();

  /** Each of these must be accepted at least once; otherwise the run did not test its effects. */
  private static final List<Class<?>> REQUIRED =
      List.of(
          ReleaseProposed.class,
          ClaimRequested.class,
          DrainRequested.class,
          DrainCancelled.class,
          HostDown.class,
          HostReturned.class,
          ProbationOver.class,
          HostMoveRequested.class,
          HostMoved.class,
          HostLeaving.class,
          HostLost.class,
          HostRemoved.class,
          HostsUnlisted.class,
          MaintenanceCancelled.class,
          JobPlaced.class,
          JobStarted.class,
          JobFinished.class,
          JobFailed.class,
          JobCancelled.class,
          JobStopped.class,
          JobLeaseExpired.class,
          EntryHostLeft.class,
          EntryHostLost.class);

  @Property(seed = "20261205", tries = 300)
  void guaranteesHoldForRandomProposals(@ForAll("chains") ActionChain<FleetSimulation> chain) {
    FleetSimulation simulation = chain.withInvariant(FleetSimulation::check).run();
    simulation.claims.checkSnapshots();
    ACCEPTED.addAll(simulation.accepted.keySet());
  }

  @AfterContainer
  static void everyRequiredProposalWasAccepted() {
    assertThat(ACCEPTED).containsAll(REQUIRED);
  }

  @Provide
  Arbitrary<ActionChain<FleetSimulation>> chains() {
    var chain = ActionChain.startWith(FleetSimulation::new);
    chain = withHosts(withJobs(withEntryHosts(chain)));
    return chain
        .withAction(3, step("release note", FleetSimulation::proposeRelease))
        .withAction(
            2,
            step(
                "claim",
                (simulation, n) -> simulation.claims.host(n).claim(key(simulation, n), null)))
        .withAction(1, step("give up", (simulation, n) -> simulation.claims.host(n).giveUp()))
        .withAction(1, step("settle", (simulation, n) -> simulation.claims.host(n).settle()))
        .withMaxTransformations(MAX_STEPS);
  }

  private static String key(FleetSimulation simulation, int number) {
    return simulation.claims.key(number / 3);
  }

  private static ActionChainArbitrary<FleetSimulation> withEntryHosts(
      ActionChainArbitrary<FleetSimulation> chain) {
    return chain
        .withAction(20, step("synchronise", (simulation, n) -> simulation.synchronise()))
        .withAction(4, step("send", (simulation, n) -> simulation.claims.host(n).send()))
        .withAction(3, step("deliver", (simulation, n) -> simulation.claims.deliver(n, false)))
        .withAction(
            2, step("deliver, keep a copy", (simulation, n) -> simulation.claims.deliver(n, true)))
        .withAction(1, step("lose append", (simulation, n) -> simulation.claims.loseAppend(n)))
        .withAction(4, step("fold", (simulation, n) -> simulation.claims.host(n).fold()))
        .withAction(4, step("advance time", FleetSimulation::advanceTime))
        .withAction(1, step("leave as planned", FleetSimulation::leaveAsPlanned))
        .withAction(1, step("restart", (simulation, n) -> simulation.claims.restart(n)))
        .withAction(1, step("restart from snapshot", FleetSimulation::restartFromSnapshot))
        .withAction(1, step("declare lost", (simulation, n) -> simulation.claims.declareLost(n)));
  }

  private static ActionChainArbitrary<FleetSimulation> withHosts(
      ActionChainArbitrary<FleetSimulation> chain) {
    return chain
        .withAction(2, step("admit", FleetSimulation::admitHost))
        .withAction(3, step("request wave", FleetSimulation::requestWave))
        .withAction(1, step("cancel wave", FleetFuzzTest::cancelWave))
        .withAction(6, step("due steps", FleetSimulation::proposeDueSteps))
        .withAction(6, step("confirm drains", FleetSimulation::confirmDrains))
        .withAction(4, step("drain", FleetFuzzTest::drain))
        .withAction(4, step("move", FleetFuzzTest::move))
        .withAction(
            1, onHost("lose", (host, n) -> new HostLost(host.name(), host.stateOffset(), "")))
        .withAction(
            1, onHost("leaving", (host, n) -> new HostLeaving(host.name(), host.stateOffset())))
        .withAction(
            5, onHost("return", (host, n) -> new HostReturned(host.name(), host.stateOffset())))
        .withAction(1, onHost("remove", (host, n) -> new HostRemoved(host.name(), "anna")))
        .withAction(
            2,
            onHost(
                "unlist or relist",
                (host, n) -> new HostsUnlisted(List.of(host.name()), "r", n % 2 > 0)));
  }

  private static ActionChainArbitrary<FleetSimulation> withJobs(
      ActionChainArbitrary<FleetSimulation> chain) {
    return chain
        .withAction(3, step("submit", FleetSimulation::submitJob))
        .withAction(
            6,
            step(
                "place",
                (simulation, n) -> simulation.onJob(n, job -> simulation.placement(n, job))))
        .withAction(2, onJob("start", JobStarted::new))
        .withAction(2, onJob("finish", (job, attempt) -> new JobFinished(job, attempt, 9, 1, 9)))
        .withAction(
            2, onJob("fail", (job, attempt) -> new JobFailed(job, attempt, FailureCause.ERROR, "")))
        .withAction(2, onJob("cancel", (job, attempt) -> new JobCancelled(job, "anna")))
        .withAction(2, onJob("stopped", JobStopped::new))
        .withAction(2, onJob("expire", (job, attempt) -> new JobLeaseExpired(job, attempt, false)))
        .withAction(1, step("reboot", FleetSimulation::rebootWorker));
  }

  private static void cancelWave(FleetSimulation simulation, int number) {
    simulation
        .openWave(number)
        .ifPresent(
            wave -> simulation.propose(number, new MaintenanceCancelled(wave, "anna", "test")));
  }

  private static void drain(FleetSimulation simulation, int number) {
    simulation
        .openWave(number)
        .ifPresent(
            wave -> simulation.onHost(number, host -> new DrainRequested(host.name(), wave)));
  }

  private static void move(FleetSimulation simulation, int number) {
    long basedOn = simulation.view(number).nextOffset() - 1;
    String target = number % 2 == 0 ? "a" : "b";
    simulation.onHost(number, host -> new HostMoveRequested(host.name(), target, basedOn, "trend"));
  }

  private interface HostChange {
    Proposal proposalFor(Host host, int number);
  }

  private interface JobChange {
    Proposal proposalFor(String job, int attempt);
  }

  private static Action.Independent<FleetSimulation> onHost(String name, HostChange change) {
    return step(name, (simulation, n) -> simulation.onHost(n, host -> change.proposalFor(host, n)));
  }

  private static Action.Independent<FleetSimulation> onJob(String name, JobChange change) {
    return step(
        name,
        (simulation, n) ->
            simulation.onJob(
                n, job -> change.proposalFor(job.name(), Math.max(1, job.history().attempts()))));
  }

  private static Action.Independent<FleetSimulation> step(
      String name, BiConsumer<FleetSimulation, Integer> change) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(
                number ->
                    Transformer.mutate(
                        name + " " + number, simulation -> change.accept(simulation, number)));
  }
}
