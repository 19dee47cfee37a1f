package org.persimmonloom.tool.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RoutingSimulationTest {
  /** Long enough for a host that vanishes and its replacement. */
  private static final RoutingModel MODEL = new RoutingModel(500, 500, 34_000_000);

  static List<RoutingStrategy> strategies() {
    return List.of(new LeastLoadedStrategy(), new SlotShareStrategy(), new OwnerStrategy());
  }

  /** Guards against requests that the simulation or a scheduler forgets, and against chance. */
  @ParameterizedTest
  @MethodSource("strategies")
  void everyRequestEndsOnceAndRunsRepeat(RoutingStrategy strategy) {
    RoutingResult result = new RoutingSimulation(MODEL, strategy, 3).run();
    assertThat(result.answered() + result.refused() + result.lost() + result.cutOff())
        .isEqualTo(result.sent());
    assertThat(new RoutingSimulation(MODEL, strategy, 3).run()).isEqualTo(result);
  }
}
