package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OwnerPermissionTest {
  private static final long NOW = 50_000;

  private static long soleOwnerMillis(long renewalAgeMillis) {
    return new OwnerPermission(() -> renewalAgeMillis, 8_000).soleOwnerMillis(NOW);
  }

  /** Guards against leases that are judged until now although another host may have claimed. */
  @Test
  void soleOwnershipEndsWhenOthersMayClaim() {
    assertThat(soleOwnerMillis(0)).isEqualTo(NOW);
    assertThat(soleOwnerMillis(Ownership.CLAIM_AFTER_MILLIS)).isEqualTo(NOW);
    assertThat(soleOwnerMillis(Ownership.CLAIM_AFTER_MILLIS + 700)).isEqualTo(NOW - 700);
  }

  /** Guards against an overflow by the age of a term that is over. */
  @Test
  void termThatIsOverHasNoSoleOwner() {
    assertThat(soleOwnerMillis(Long.MAX_VALUE)).isLessThan(NOW);
  }

  /** Guards against starts of an owner that another one may have followed. */
  @Test
  void noTasksAreStartedOnceOthersMayClaim() {
    long claimAfter = Ownership.CLAIM_AFTER_MILLIS;
    assertThat(new OwnerPermission(() -> claimAfter - 1, 8_000).mayStartTasks()).isTrue();
    assertThat(new OwnerPermission(() -> claimAfter, 8_000).mayStartTasks()).isFalse();
  }
}
