package org.persimmonloom.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunTimeEstimatesTest {
  private static final long SHORT_LIMIT_MILLIS = 500;

  private final RunTimeEstimates estimates = new RunTimeEstimates(SHORT_LIMIT_MILLIS);

  /**
   * Guards against requests that are refused as too slow because one endpoint never answered: its
   * run was cut off at the deadline, which says nothing about the time a run needs.
   */
  @Test
  void lowerBoundsAloneGiveNoTypicalTime() {
    estimates.learnLowerBound("bill", 1_010, 0);
    assertThat(estimates.typicalMillis("bill", 10)).isZero();
    assertThat(estimates.classOf("bill", null)).isEqualTo(WorkClass.LONG);
  }

  /** Guards against an estimate that ignores cut-off runs of a route whose run time is known. */
  @Test
  void lowerBoundAboveTheMeanRaisesTheEstimate() {
    estimates.learn("bill", 100, 0);
    estimates.learnLowerBound("bill", 1_010, 0);
    assertThat(estimates.typicalMillis("bill", 10)).isGreaterThan(100);
  }
}
