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
 * Drives claims through lost, delayed and repeated appends, replaced hosts and hosts declared lost.
 * Guards against a request that runs twice, a request that runs after it was reported as not run,
 * and entry hosts whose folds differ.
 */
class ClaimFuzzTest {
  private static final int MAX_STEPS = 80;

  @Property(seed = "20261204", tries = 1_500)
  void claimsRunAtMostOnce(@ForAll("chains") ActionChain<ClaimWorld> chain) {
    chain.withInvariant(ClaimWorld::check).run().checkSnapshots();
  }

  @Provide
  Arbitrary<ActionChain<ClaimWorld>> chains() {
    return ActionChain.startWith(ClaimWorld::new)
        .withAction(4, step("claim", (world, n) -> world.host(n).claim(world.key(n / 3), null)))
        .withAction(8, step("send", (world, n) -> world.host(n).send()))
        .withAction(8, step("deliver", (world, n) -> world.deliver(n, false)))
        .withAction(2, step("deliver, keep a copy", (world, n) -> world.deliver(n, true)))
        .withAction(1, step("lose append", ClaimWorld::lose))
        .withAction(8, step("fold", (world, n) -> world.host(n).fold()))
        .withAction(2, step("give up", (world, n) -> world.host(n).giveUp()))
        .withAction(3, step("settle", (world, n) -> world.host(n).settle()))
        .withAction(4, step("retry", (world, n) -> world.retryElsewhere(n, n / 3)))
        .withAction(1, step("replace", ClaimWorld::replace))
        .withAction(1, step("declare lost", ClaimWorld::declareLost))
        .withAction(2, step("pass time", ClaimWorld::pass))
        .withAction(2, step("repeat old key", ClaimWorld::repeatOldKey))
        .withMaxTransformations(MAX_STEPS);
  }

  private static Action.Independent<ClaimWorld> step(
      String name, BiConsumer<ClaimWorld, Integer> change) {
    return () ->
        Arbitraries.integers()
            .between(0, 99)
            .map(
                number ->
                    Transformer.mutate(name + " " + number, world -> change.accept(world, number)));
  }
}
