package org.persimmonloom.runtime.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.persimmonloom.runtime.log.ReplicatedState;

class FoldClockTest {
  private long wallMillis = 1_000;
  private long monotonicMillis = 50;
  private final FoldClock clock =
      new FoldClock(
          new ReplicatedState(), () -> Instant.ofEpochMilli(wallMillis), () -> monotonicMillis);

  /** A lower estimate after a late append would allow renewals after the lease has expired. */
  @Test
  void lateBatchDoesNotLowerTheEstimate() {
    clock.observe(9_000);
    monotonicMillis += 600_000;
    clock.observe(9_500);
    assertThat(clock.nowMillis()).isEqualTo(609_000);
  }

  /** A host whose monotonic clock was suspended would renew leases that have expired. */
  @Test
  void wallClockAheadOfTheMonotonicEstimateIsUsed() {
    clock.observe(2_000);
    wallMillis = 700_000;
    assertThat(clock.nowMillis()).isEqualTo(700_000);
  }
}
