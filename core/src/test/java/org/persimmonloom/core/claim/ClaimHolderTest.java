package org.persimmonloom.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.result.RunOutcome;

class ClaimHolderTest {
  private static final long NOW = 1_000_000;
  private static final long DEADLINE = NOW + 5_000;
  private static final CompleteResponse ANSWER =
      new CompleteResponse(200, List.of(), new byte[1_000]);

  private final ClaimHolder holder = new ClaimHolder(4_000, 60_000);

  private static ClaimRequested claim(String key, String claimId) {
    return new ClaimRequested("bill", key, 7, claimId, null);
  }

  private ClaimStatus.Kind kind(String claimId) {
    return holder.status(claimId, NOW).kind();
  }

  /** Guards against dispatching a claim that is accepted after the wait limit. */
  @Test
  void claimAcceptedAfterItWasAbandonedIsNeverDispatched() {
    holder.admit(claim("k", "c1"), DEADLINE, NOW);
    assertThat(holder.abandonIfUndecided("c1")).isTrue();
    assertThat(holder.recordAccepted("c1")).isFalse();
    assertThat(holder.tryDispatch("c1", NOW)).isFalse();
    assertThat(kind("c1")).isEqualTo(ClaimStatus.Kind.ABANDONED);
  }

  /** Guards against reporting "not run" for a dispatched request whose caller timed out. */
  @Test
  void dispatchedClaimCannotBeAbandonedAndSettlesOnce() {
    holder.admit(claim("k", "c1"), DEADLINE, NOW);
    holder.recordAccepted("c1");
    assertThat(holder.tryDispatch("c1", NOW)).isTrue();
    assertThat(holder.tryDispatch("c1", NOW)).isFalse();
    assertThat(holder.abandon("c1")).isFalse();
    assertThat(holder.settle("c1", null, NOW))
        .hasValueSatisfying(
            settlement -> assertThat(settlement.outcome()).isEqualTo(RunOutcome.UNKNOWN));
    assertThat(holder.settle("c1", ANSWER, NOW)).isEmpty();
    assertThat(kind("c1")).isEqualTo(ClaimStatus.Kind.OUTCOME_UNKNOWN);
  }

  /**
   * Guards against sending a request after a pause of the process that lasted beyond the deadline.
   */
  @Test
  void pauseBeyondTheDeadlinePreventsDispatch() {
    holder.admit(claim("k", "c1"), DEADLINE, NOW);
    holder.recordAccepted("c1");
    assertThat(holder.tryDispatch("c1", DEADLINE)).isFalse();
    assertThat(holder.abandon("c1")).isTrue();
  }

  /** Guards against two open claims of one key at the same host. */
  @Test
  void duplicateFollowsTheClaimAndSupersedesItOnlyWhenAbandoned() {
    holder.admit(claim("k", "c1"), DEADLINE, NOW);
    assertThat(holder.admit(claim("k", "c2"), DEADLINE, NOW))
        .isEqualTo(new ClaimAdmission.Duplicate("c1", ClaimStatus.of(ClaimStatus.Kind.RUNNING)));
    holder.abandon("c1");
    ClaimAdmission third = holder.admit(claim("k", "c3"), DEADLINE, NOW);
    assertThat(third)
        .isEqualTo(new ClaimAdmission.Propose(new ClaimRequested("bill", "k", 7, "c3", "c1")));
    holder.recordReleased("c1");
    assertThat(holder.recordAccepted("c3")).isTrue();
  }

  /** Guards against accepting one key for two different requests. */
  @Test
  void keyOfAnotherRequestIsRefused() {
    holder.admit(claim("k", "c1"), DEADLINE, NOW);
    ClaimAdmission other =
        holder.admit(new ClaimRequested("bill", "k", 8, "c2", null), DEADLINE, NOW);
    assertThat(other).isInstanceOf(ClaimAdmission.Refused.class);
  }

  /** Guards against retained responses that grow without bound. */
  @Test
  void retainedAnswersAreBoundedByBytesAndAge() {
    for (int i = 0; i < 10; i++) {
      holder.admit(claim("k" + i, "c" + i), DEADLINE, NOW);
      holder.recordAccepted("c" + i);
      holder.tryDispatch("c" + i, NOW);
      holder.settle("c" + i, ANSWER, NOW);
      assertThat(holder.retainedBytes()).isLessThanOrEqualTo(4_000);
    }
    assertThat(kind("c0")).isEqualTo(ClaimStatus.Kind.NOT_KNOWN);
    assertThat(kind("c9")).isEqualTo(ClaimStatus.Kind.ANSWERED);
    assertThat(holder.status("c9", NOW + 60_001).kind()).isEqualTo(ClaimStatus.Kind.NOT_KNOWN);
    assertThat(holder.retainedBytes()).isZero();
  }

  /**
   * Guards against orders of events that send a request twice, or abandon a claim whose request was
   * sent.
   */
  @Property(tries = 2_000, seed = "11")
  void anyOrderOfEventsDispatchesAtMostOnceAndNeverAfterAbandonment(@ForAll long seed) {
    Random random = new Random(seed);
    ClaimHolder randomHolder = new ClaimHolder(4_000, 60_000);
    randomHolder.admit(claim("k", "c1"), DEADLINE, NOW);
    int sends = 0;
    boolean isAbandoned = false;
    for (int step = 0; step < 30; step++) {
      long now = NOW + random.nextInt(6_000);
      switch (random.nextInt(7)) {
        case 0 -> randomHolder.recordAccepted("c1");
        case 1 -> isAbandoned |= randomHolder.abandonIfUndecided("c1");
        case 2 -> isAbandoned |= randomHolder.abandon("c1");
        case 3 -> {
          boolean isSent = randomHolder.tryDispatch("c1", now);
          assertThat(isSent && isAbandoned).isFalse();
          sends += isSent ? 1 : 0;
        }
        case 4 -> {
          if (sends == 1 && randomHolder.status("c1", NOW).kind() == ClaimStatus.Kind.RUNNING) {
            randomHolder.revertDispatch("c1");
            sends = 0;
          }
        }
        case 5 -> randomHolder.settle("c1", random.nextBoolean() ? ANSWER : null, now);
        default -> randomHolder.admit(claim("k", "c" + step + 2), DEADLINE, now);
      }
      assertThat(sends).isLessThanOrEqualTo(1);
      assertThat(sends == 1 && isAbandoned).isFalse();
    }
  }
}
