package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class OwnerPermissionTest {
  private final AtomicLong renewalAge = new AtomicLong();
  private final OwnerPermission permission = new OwnerPermission(renewalAge::get, 8_000);

  /** Guards against an owner that takes itself for the only one since another host may claim. */
  @Test
  void ownedUntilIsBeforeAnyClaimOfAnotherHost() {
    renewalAge.set(5_000);
    long renewedMillis = 20_000 - 5_000;
    assertThat(permission.mayOrderWorkers()).isTrue();
    assertThat(permission.ownedUntilMillis(20_000))
        .isBetween(renewedMillis, renewedMillis + Ownership.CLAIM_AFTER_MILLIS - 1);
  }

  /** Guards against tasks that wait for the next renewal while renewals succeed as usual. */
  @Test
  void ownedUntilNowWhileRenewalsSucceed() {
    renewalAge.set(700);
    assertThat(permission.ownedUntilMillis(20_000)).isGreaterThanOrEqualTo(20_000);
  }

  /** Guards against an overflow that makes a term which may be over look like one that lasts. */
  @Test
  void nothingIsOwnedWithoutARenewalThatCounts() {
    renewalAge.set(Long.MAX_VALUE);
    assertThat(permission.ownedUntilMillis(20_000)).isNegative();
  }

  /** Guards against starts of an owner that another one may have followed. */
  @Test
  void noTasksAreStartedOnceOthersMayClaim() {
    long claimAfter = Ownership.CLAIM_AFTER_MILLIS;
    assertThat(new OwnerPermission(() -> claimAfter - 1, 8_000).mayStartTasks()).isTrue();
    assertThat(new OwnerPermission(() -> claimAfter, 8_000).mayStartTasks()).isFalse();
  }
}
