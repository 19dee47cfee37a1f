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

  /** Guards against renewals past the lease after a batch that was appended late. */
  @Test
  void lateBatchDoesNotSetTheEstimateBack() {
    clock.observe(9_000);
    monotonicMillis += 600_000;
    clock.observe(9_500);
    assertThat(clock.nowMillis()).isEqualTo(609_000);
  }

  /** Guards against renewals past the lease by a host whose monotonic clock stood still. */
  @Test
  void wallClockCountsWhenItIsAhead() {
    clock.observe(2_000);
    wallMillis = 700_000;
    assertThat(clock.nowMillis()).isEqualTo(700_000);
  }
}
