package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

class OwnershipTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final Candidate one = new Candidate("one", 1);
  private final Candidate two = new Candidate("two", 2);

  /** An entry host's ownership and what it was told. */
  private final class Candidate implements Ownership.Listener {
    private final BlockingQueue<Long> fences = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> losses = new LinkedBlockingQueue<>();
    private volatile int appendsAtLoss;
    private final Ownership ownership;

    private volatile long claimDelayMillis;

    Candidate(String name, long incarnation) {
      ownership = new Ownership(log, name, incarnation, CLOCK, () -> claimDelayMillis, this);
      ownership.setMayClaim(true);
    }

    @Override
    public void ownershipGained(long fence, boolean isHandedOver) {
      fences.add(fence);
    }

    @Override
    public void ownershipLost() {
      appendsAtLoss = log.appends();
      losses.add(true);
    }

    Long nextFence() throws InterruptedException {
      return fences.poll(10, TimeUnit.SECONDS);
    }
  }

  @AfterEach
  void stop() throws InterruptedException {
    one.ownership.stop();
    two.ownership.stop();
  }

  /** Guards against an owner that does not know of its claim because the answer was lost. */
  @Test
  void claimWhoseAnswerWasLostIsFound() throws Exception {
    log.lostAnswers = 1;
    one.ownership.start();
    assertThat(one.nextFence()).isEqualTo(1);
  }

  /** Guards against an owner that gives orders after it has handed the ownership over. */
  @Test
  void ownerStopsBeforeItsRelease() throws Exception {
    one.ownership.start();
    one.nextFence();
    one.ownership.stop();
    assertThat(one.appendsAtLoss).isEqualTo(log.appends() - 1);
  }

  /** Guards against a candidate that floods a log which refuses appends but can be read. */
  @Test
  void refusedClaimIsRepeatedWithAPause() throws Exception {
    log.refusals = Integer.MAX_VALUE;
    // Its stagger among the candidates is 0 ms.
    Candidate first = new Candidate("host-41", 1);
    first.ownership.start();
    TimeUnit.MILLISECONDS.sleep(1_000);
    first.ownership.stop();
    assertThat(log.appends()).isBetween(1, 11);
  }

  /** Guards against fences that do not rise, and against a slow takeover after a planned stop. */
  @Test
  void releasedOwnershipGoesToTheNextHostWithAHigherFence() throws Exception {
    one.ownership.start();
    long first = one.nextFence();
    two.ownership.start();
    assertThat(two.fences).isEmpty();
    one.ownership.stop();
    assertThat(one.losses.poll(1, TimeUnit.SECONDS)).isTrue();
    assertThat(two.nextFence()).isGreaterThan(first);
  }

  /** Guards against a fleet that waits for an owner whose host has just been restarted. */
  @Test
  void restartedOwnerTakesOverFromItsEarlierLife() throws Exception {
    log.appendAt(Table.OWNERSHIP, 0, record(new OwnershipRecord("one", 0, 0, false)));
    long before = CLOCK.getAsLong();
    one.ownership.start();
    assertThat(one.nextFence()).isEqualTo(2);
    assertThat(CLOCK.getAsLong() - before).isLessThan(Ownership.CLAIM_AFTER_MILLIS);
  }

  private static TableRecord record(OwnershipRecord value) {
    return new TableRecord("fleet", new Codec(Map.of()).encode(value));
  }

  /** Guards against an owner on a small host while a larger one could be the owner. */
  @Test
  void hostWithAClaimDelayLeavesTheOwnershipToAnother() throws Exception {
    one.claimDelayMillis = 3_000;
    one.ownership.start();
    two.ownership.start();
    assertThat(two.nextFence()).isEqualTo(1);
    assertThat(one.fences).isEmpty();
  }

  /**
   * Guards against a handover that nobody follows, and against one that ends the claims of a host.
   */
  @Test
  void ownershipThatIsHandedOverGoesToTheOtherHostAndMayComeBack() throws Exception {
    one.ownership.start();
    long first = one.nextFence();
    two.ownership.start();
    one.claimDelayMillis = 3_000;
    one.ownership.handOver();
    assertThat(one.losses.poll(5, TimeUnit.SECONDS)).isTrue();
    long second = two.nextFence();
    assertThat(second).isGreaterThan(first);

    one.claimDelayMillis = 0;
    two.ownership.stop();
    assertThat(one.nextFence()).isGreaterThan(second);
  }

  /**
   * Guards against a second term under one fence: a host whose release was not written finds its
   * own last record and must not take it for a claim.
   */
  @Test
  void releaseThatWasNotWrittenEndsTheTermAllTheSame() throws Exception {
    one.ownership.start();
    long first = one.nextFence();
    log.refusals = 1;
    one.ownership.handOver();
    assertThat(one.losses.poll(5, TimeUnit.SECONDS)).isTrue();
    assertThat(one.nextFence()).isGreaterThan(first);
  }

  /** Guards against two owners: a renewal after another host's claim must fail. */
  @Test
  void supersededOwnerStepsDown() throws Exception {
    one.ownership.start();
    one.nextFence();
    // The record of another host's claim, which a conditional append has put after the newest.
    OwnershipRecord claim = new OwnershipRecord("three", 3, 0, false);
    AppendResult result;
    do {
      long end = log.records(Table.OWNERSHIP).size();
      result = log.appendAt(Table.OWNERSHIP, end, record(claim));
    } while (!(result instanceof AppendResult.Appended));
    assertThat(one.losses.poll(5, TimeUnit.SECONDS)).isTrue();
  }

  /**
   * Guards against a second term under the fence of an ended one: its appends would repeat the
   * numbers of the first term's, so that the store drops or refuses them.
   */
  @Test
  void endedTermIsFollowedByAHigherFence() throws Exception {
    one.ownership.start();
    long first = one.nextFence();
    // The renewal after the lost answer conflicts, and what it conflicts with has expired.
    log.expiries = 1;
    log.lostAnswers = 1;
    assertThat(one.losses.poll(5, TimeUnit.SECONDS)).isTrue();
    assertThat(one.nextFence()).isGreaterThan(first);
  }
}
