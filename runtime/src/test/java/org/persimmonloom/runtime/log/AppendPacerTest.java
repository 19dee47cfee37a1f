package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class AppendPacerTest {
  private static final long PACE = 33;
  private final AppendPacer pacer = new AppendPacer(new Random(3));
  private long now = 10_000;

  private long intervalAfterAppend(long latencyMillis, boolean isAnswered) {
    long start = now;
    pacer.started(now, PACE);
    now += latencyMillis;
    if (isAnswered) {
      pacer.succeeded(now);
    } else {
      pacer.failed(now);
    }
    long interval = pacer.nextMillis() - start;
    now = Math.max(now, pacer.nextMillis());
    return interval;
  }

  /** Guards against a fleet that exceeds its budget, and a log that gets load while it is slow. */
  @Test
  void intervalFollowsBudgetAndLatency() {
    for (int append = 0; append < 20; append++) {
      assertThat(intervalAfterAppend(5, true)).isEqualTo(PACE);
    }
    for (int append = 0; append < 20; append++) {
      intervalAfterAppend(400, true);
    }
    assertThat(intervalAfterAppend(400, true)).isBetween(700L, PACE + 2 * 400);
    for (int append = 0; append < 20; append++) {
      intervalAfterAppend(5, true);
    }
    assertThat(intervalAfterAppend(5, true)).isEqualTo(PACE);
  }

  /** Guards against hosts that retry at once, or that notice the end of an outage too late. */
  @Test
  void failuresBackOffUpToALimit() {
    long first = intervalAfterAppend(1, false);
    assertThat(first).isBetween(50L, 101L);
    for (int failure = 0; failure < 20; failure++) {
      assertThat(intervalAfterAppend(1, false)).isBetween(51L, AppendPacer.MAX_DELAY_MILLIS + 1);
    }
    assertThat(intervalAfterAppend(1, false)).isGreaterThan(AppendPacer.MAX_DELAY_MILLIS / 2);
    assertThat(intervalAfterAppend(1, true)).isEqualTo(PACE);
  }
}
