package org.persimmonloom.core.fold;

import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Runs claims with lost, delayed and repeated appends, restarted entry hosts and entry hosts that
 * are declared lost. Guards against a request that runs twice, a request that runs after it was
 * reported as not run, and entry hosts whose states differ at the same offset.
 */
class ClaimFuzzTest {
  private static final int MAX_STEPS = 80;

  @Property(seed = "20261204", tries = 1_500)
  void claimedRequestsRunAtMostOnce(@ForAll("chains") ActionChain<ClaimSimulation> chain) {
    chain.withInvariant(ClaimSimulation::check).run().checkSnapshots();
  }

  @Provide
  Arbitrary<ActionChain<ClaimSimulation>> chains() {
    return ActionChain.startWith(ClaimSimulation::new)
        .withAction(
            4,
            step("claim", (simulation, n) -> simulation.host(n).claim(simulation.key(n / 3), null)))
        .withAction(8, step("send", (simulation, n) -> simulation.host(n).send()))
        .withAction(8, step("deliver", (simulation, n) -> simulation.deliver(n, false)))
        .withAction(2, step("deliver, keep a copy", (simulation, n) -> simulation.deliver(n, true)))
        .withAction(1, step("lose append", ClaimSimulation::loseAppend))
        .withAction(8, step("fold", (simulation, n) -> simulation.host(n).fold()))
        .withAction(2, step("give up", (simulation, n) -> simulation.host(n).giveUp()))
        .withAction(3, step("settle", (simulation, n) -> simulation.host(n).settle()))
        .withAction(4, step("retry", (simulation, n) -> simulation.retryElsewhere(n, n / 3)))
        .withAction(1, step("restart", ClaimSimulation::restart))
        .withAction(1, step("declare lost", ClaimSimulation::declareLost))
        .withAction(2, step("advance time", ClaimSimulation::advanceTime))
        .withAction(2, step("repeat old key", ClaimSimulation::repeatOldKey))
        .withMaxTransformations(MAX_STEPS);
  }

  private static Action.Independent<ClaimSimulation> step(
      String name, BiConsumer<ClaimSimulation, Integer> change) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(
                number ->
                    Transformer.mutate(
                        name + " " + number, simulation -> change.accept(simulation, number)));
  }
}
