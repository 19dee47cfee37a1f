package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OwnerPermissionTest {
  /** Guards against starts of an owner that another one may have followed. */
  @Test
  void noTasksAreStartedOnceOthersMayClaim() {
    long claimAfter = Ownership.CLAIM_AFTER_MILLIS;
    assertThat(new OwnerPermission(() -> claimAfter - 1, () -> 0, () -> 0, 8_000).mayStartTasks())
        .isTrue();
    assertThat(new OwnerPermission(() -> claimAfter, () -> 0, () -> 0, 8_000).mayStartTasks())
        .isFalse();
    assertThat(new OwnerPermission(() -> Long.MAX_VALUE, () -> 0, () -> 0, 8_000).mayStartTasks())
        .isFalse();
  }

  /**
   * Guards against starts that reach their worker, in a call of up to 450 ms, more than 3,000 ms
   * after a cancellation that the owner does not know.
   */
  @Test
  void noTasksAreStartedByAnOldTable() {
    long latest = 3_000 - 450;
    assertThat(new OwnerPermission(() -> 0, () -> latest, () -> 0, 8_000).mayStartTasks())
        .isFalse();
    assertThat(new OwnerPermission(() -> 0, () -> latest, () -> 0, 8_000).mayOrderWorkers())
        .isTrue();
    assertThat(new OwnerPermission(() -> 0, () -> 1_500, () -> 0, 8_000).mayStartTasks()).isTrue();
  }

  /**
   * Guards against starts that reach their worker, in a call of up to 450 ms, more than 2,000 ms
   * after an entry that it drains, which the owner does not know.
   */
  @Test
  void noTasksAreStartedByOldWorkers() {
    long latest = 2_000 - 450;
    assertThat(new OwnerPermission(() -> 0, () -> 0, () -> latest, 8_000).mayStartTasks())
        .isFalse();
    assertThat(new OwnerPermission(() -> 0, () -> 0, () -> latest, 8_000).mayOrderWorkers())
        .isTrue();
    assertThat(new OwnerPermission(() -> 0, () -> 0, () -> 1_000, 8_000).mayStartTasks()).isTrue();
  }
}
