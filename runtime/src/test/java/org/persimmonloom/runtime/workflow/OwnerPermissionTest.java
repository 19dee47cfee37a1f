package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OwnerPermissionTest {
  /** Guards against starts of an owner that another one may have followed. */
  @Test
  void noTasksAreStartedOnceOthersMayClaim() {
    long claimAfter = Ownership.CLAIM_AFTER_MILLIS;
    assertThat(new OwnerPermission(() -> claimAfter - 1, 8_000).mayStartTasks()).isTrue();
    assertThat(new OwnerPermission(() -> claimAfter, 8_000).mayStartTasks()).isFalse();
    assertThat(new OwnerPermission(() -> Long.MAX_VALUE, 8_000).mayStartTasks()).isFalse();
  }
}
