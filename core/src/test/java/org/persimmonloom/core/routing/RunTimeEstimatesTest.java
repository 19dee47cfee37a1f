package org.persimmonloom.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunTimeEstimatesTest {
  private static final long SHORT_LIMIT_MILLIS = 500;

  private final RunTimeEstimates estimates = new RunTimeEstimates(SHORT_LIMIT_MILLIS);

  /**
   * Guards against refusing requests as too slow because one endpoint never responded: a run that
   * was cut off at the deadline gives only a lower bound of the run time.
   */
  @Test
  void lowerBoundsAloneGiveNoTypicalTime() {
    estimates.learnLowerBound("bill", 1_010, 0);
    assertThat(estimates.typicalMillis("bill", 10)).isZero();
    assertThat(estimates.classOf("bill", null)).isEqualTo(WorkClass.LONG);
  }

  /** Guards against an estimate that ignores cut-off runs of a route with a known run time. */
  @Test
  void lowerBoundAboveTheMeanRaisesTheEstimate() {
    estimates.learn("bill", 100, 0);
    estimates.learnLowerBound("bill", 1_010, 0);
    assertThat(estimates.typicalMillis("bill", 10)).isGreaterThan(100);
  }
}
