package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** For how long the last renewal counts. */
class RenewalsTest {
  private long nowMillis = 100_000;
  private final Renewals renewals =
      new Renewals(() -> nowMillis, () -> Instant.ofEpochMilli(nowMillis));

  /** Records an attempt that takes 300 ms, after which the next one waits for 500 ms. */
  private void attempt(boolean isWritten) {
    Renewals.SendTime sent = renewals.now();
    nowMillis += 300;
    if (isWritten) {
      renewals.succeeded(sent);
    } else {
      renewals.failed(sent);
    }
    nowMillis += 500;
  }

  /** Guards against an owner that stops all work as soon as the store does not answer. */
  @Test
  void renewalCountsWhileFurtherAttemptsFail() {
    attempt(true);
    attempt(false);
    attempt(false);
    attempt(false);
    assertThat(renewals.ageMillis()).isEqualTo(3_200);
  }

  /**
   * Guards against orders beside those of a newer owner: a renewal failed before the last success,
   * also in an earlier term of this host, and the process is paused after the success.
   */
  @Test
  void failureBeforeTheLastRenewalIsNoSignOfAnOutage() {
    attempt(false);
    attempt(true);
    nowMillis += 2_000;
    assertThat(renewals.ageMillis()).isEqualTo(Long.MAX_VALUE);
  }

  /**
   * Guards against an owner that stops its polls beside a slow store, each time that it finds the
   * renewal before the last attempt written.
   */
  @Test
  void renewalThatIsFoundAfterFailuresKeepsTheTermGoing() {
    attempt(true);
    for (int round = 0; round < 5; round++) {
      Renewals.SendTime sent = renewals.sending();
      nowMillis += 1_500;
      renewals.failed(sent);
      nowMillis += 500;
      renewals.sending();
      nowMillis += 300;
      renewals.found();
      assertThat(renewals.ageMillis()).isEqualTo(2_300);
      nowMillis += 500;
    }
  }
}
