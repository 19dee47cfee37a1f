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
 * Drives the whole fold through one log. Guards against a budget that is exceeded by an accepted
 * step, a host in no pool or two, a revision that goes back, a job with two live attempts, and
 * replicas or restored snapshots that differ.
 */
class FleetFuzzTest {
  private static final int MAX_STEPS = 120;
  private static final Set<Class<?>> ACCEPTED = new HashSet<>();

  /** A run that never gets these accepted checks less than it says. */
  private static final List<Class<?>> EXPECTED =
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
  void guaranteesHoldInAnyOrder(@ForAll("chains") ActionChain<FleetWorld> chain) {
    FleetWorld world = chain.withInvariant(FleetWorld::check).run();
    world.claims.checkSnapshots();
    ACCEPTED.addAll(world.accepted.keySet());
  }

  @AfterContainer
  static void everyKindWasAccepted() {
    assertThat(ACCEPTED).containsAll(EXPECTED);
  }

  @Provide
  Arbitrary<ActionChain<FleetWorld>> chains() {
    var chain = ActionChain.startWith(FleetWorld::new);
    chain = withHosts(withJobs(withEntryHosts(chain)));
    return chain
        .withAction(3, step("release note", FleetWorld::release))
        .withAction(2, step("claim", (world, n) -> world.claims.host(n).claim(key(world, n), null)))
        .withAction(1, step("give up", (world, n) -> world.claims.host(n).giveUp()))
        .withAction(1, step("settle", (world, n) -> world.claims.host(n).settle()))
        .withMaxTransformations(MAX_STEPS);
  }

  private static String key(FleetWorld world, int number) {
    return world.claims.key(number / 3);
  }

  private static ActionChainArbitrary<FleetWorld> withEntryHosts(
      ActionChainArbitrary<FleetWorld> chain) {
    return chain
        .withAction(20, step("synchronise", (world, n) -> world.synchronise()))
        .withAction(4, step("send", (world, n) -> world.claims.host(n).send()))
        .withAction(3, step("deliver", (world, n) -> world.claims.deliver(n, false)))
        .withAction(2, step("deliver, keep a copy", (world, n) -> world.claims.deliver(n, true)))
        .withAction(1, step("lose append", (world, n) -> world.claims.lose(n)))
        .withAction(4, step("fold", (world, n) -> world.claims.host(n).fold()))
        .withAction(4, step("pass time", FleetWorld::pass))
        .withAction(1, step("leave as planned", FleetWorld::leave))
        .withAction(1, step("restart", (world, n) -> world.claims.replace(n)))
        .withAction(1, step("restart from snapshot", FleetWorld::restartFromSnapshot))
        .withAction(1, step("declare lost", (world, n) -> world.claims.declareLost(n)));
  }

  private static ActionChainArbitrary<FleetWorld> withHosts(
      ActionChainArbitrary<FleetWorld> chain) {
    return chain
        .withAction(2, step("admit", FleetWorld::admit))
        .withAction(3, step("request wave", FleetWorld::wave))
        .withAction(1, step("cancel wave", FleetFuzzTest::cancelWave))
        .withAction(6, step("due steps", FleetWorld::steps))
        .withAction(6, step("confirm drains", FleetWorld::confirm))
        .withAction(4, step("drain", FleetFuzzTest::drain))
        .withAction(4, step("move", FleetFuzzTest::move))
        .withAction(1, onHost("lose", (it, n) -> new HostLost(it.name(), it.stateOffset(), "")))
        .withAction(1, onHost("leaving", (it, n) -> new HostLeaving(it.name(), it.stateOffset())))
        .withAction(5, onHost("return", (it, n) -> new HostReturned(it.name(), it.stateOffset())))
        .withAction(1, onHost("remove", (it, n) -> new HostRemoved(it.name(), "anna")))
        .withAction(
            2, onHost("list", (it, n) -> new HostsUnlisted(List.of(it.name()), "r", n % 2 > 0)));
  }

  private static ActionChainArbitrary<FleetWorld> withJobs(ActionChainArbitrary<FleetWorld> chain) {
    return chain
        .withAction(3, step("submit", FleetWorld::submit))
        .withAction(6, step("place", (world, n) -> world.onJob(n, it -> world.placement(n, it))))
        .withAction(2, onJob("start", JobStarted::new))
        .withAction(2, onJob("finish", (job, attempt) -> new JobFinished(job, attempt, 9, 1, 9)))
        .withAction(
            2, onJob("fail", (job, attempt) -> new JobFailed(job, attempt, FailureCause.ERROR, "")))
        .withAction(2, onJob("cancel", (job, attempt) -> new JobCancelled(job, "anna")))
        .withAction(2, onJob("stopped", JobStopped::new))
        .withAction(2, onJob("expire", (job, attempt) -> new JobLeaseExpired(job, attempt, false)))
        .withAction(1, step("reboot", FleetWorld::reboot));
  }

  private static void cancelWave(FleetWorld world, int number) {
    world
        .openWave(number)
        .ifPresent(it -> world.propose(number, new MaintenanceCancelled(it, "anna", "test")));
  }

  private static void drain(FleetWorld world, int number) {
    world
        .openWave(number)
        .ifPresent(wave -> world.onHost(number, it -> new DrainRequested(it.name(), wave)));
  }

  private static void move(FleetWorld world, int number) {
    long basedOn = world.view(number).nextOffset() - 1;
    String target = number % 2 == 0 ? "a" : "b";
    world.onHost(number, it -> new HostMoveRequested(it.name(), target, basedOn, "trend"));
  }

  private interface HostChange {
    Proposal of(Host host, int number);
  }

  private interface JobChange {
    Proposal of(String job, int attempt);
  }

  private static Action.Independent<FleetWorld> onHost(String name, HostChange change) {
    return step(name, (world, n) -> world.onHost(n, host -> change.of(host, n)));
  }

  private static Action.Independent<FleetWorld> onJob(String name, JobChange change) {
    return step(
        name,
        (world, n) ->
            world.onJob(n, job -> change.of(job.name(), Math.max(1, job.history().attempts()))));
  }

  private static Action.Independent<FleetWorld> step(
      String name, BiConsumer<FleetWorld, Integer> change) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(
                number ->
                    Transformer.mutate(name + " " + number, world -> change.accept(world, number)));
  }
}
