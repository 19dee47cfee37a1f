package org.persimmonloom.tool.measure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SimulationTest {
  /**
   * Guards against figures that a seed does not reproduce, and against planned budget violations.
   */
  @ParameterizedTest
  @EnumSource(PolicyKind.class)
  void equalSeedsGiveEqualFiguresWithoutViolations(PolicyKind policy) {
    RunResult first = new Simulation(Deployment.DEPOT, policy.factory(), true, 3).run();
    RunResult second = new Simulation(Deployment.DEPOT, policy.factory(), true, 3).run();
    assertThat(second).isEqualTo(first);
    assertThat(first.violations()).isZero();
    assertThat(first.rolloutSeconds()).isLessThan(FleetSizes.RUN / 1000.0 * 3 / 5);
  }
}
