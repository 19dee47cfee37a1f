package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

class OwnershipTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final Candidate hostOne = new Candidate("one", 1);
  private final Candidate hostTwo = new Candidate("two", 2);

  /** An entry host's ownership and the calls of its listener. */
  private final class Candidate implements Ownership.Listener {
    private final BlockingQueue<OwnershipTerm> terms = new LinkedBlockingQueue<>();
    private final CutOffLog ownLog = new CutOffLog(log);
    private final BlockingQueue<Boolean> losses = new LinkedBlockingQueue<>();
    private volatile int appendsAtLoss;
    private final Ownership ownership;

    private volatile long claimDelayMillis;
    private volatile long lastFence;

    /** Time for which the host has stood still, for its clock. */
    private volatile long pausedMillis;

    /** Called when the ownership thread reads the wall clock, before it sends a renewal. */
    private volatile Runnable onOwnershipThread = () -> {};

    /** Whether a worker reports a newer fence while the host is giving up the ownership. */
    private volatile boolean isFencedAtLoss;

    Candidate(String name, long incarnation) {
      ownership =
          new Ownership(
              new OwnershipTable(ownLog, log::relay),
              name,
              incarnation,
              () -> CLOCK.getAsLong() + pausedMillis,
              this::now,
              () -> claimDelayMillis,
              this);
      ownership.setMayClaim(() -> true);
    }

    private Instant now() {
      if (Thread.currentThread().getName().equals("ownership")) {
        onOwnershipThread.run();
      }
      return Instant.now();
    }

    @Override
    public void ownershipGained(OwnershipTerm term) {
      lastFence = term.fence();
      terms.add(term);
    }

    @Override
    public void ownershipLost() {
      appendsAtLoss = log.appendCount();
      losses.add(true);
      if (isFencedAtLoss) {
        ownership.stepDown(lastFence);
      }
    }

    Long nextFence() throws InterruptedException {
      OwnershipTerm term = nextTerm();
      return term == null ? null : term.fence();
    }

    OwnershipTerm nextTerm() throws InterruptedException {
      return terms.poll(10, TimeUnit.SECONDS);
    }
  }

  @AfterEach
  void stop() throws InterruptedException {
    hostOne.ownership.stop();
    hostTwo.ownership.stop();
  }

  /** Guards against an owner that does not detect its claim because the response was lost. */
  @Test
  void claimIsDetectedAfterLostResponse() throws Exception {
    log.lostResponses = 1;
    hostOne.ownership.start();
    assertThat(hostOne.nextFence()).isEqualTo(1);
  }

  /** Guards against an owner that sends orders after it has released the ownership. */
  @Test
  void listenerIsNotifiedBeforeRelease() throws Exception {
    hostOne.ownership.start();
    hostOne.nextFence();
    hostOne.ownership.stop();
    assertThat(hostOne.appendsAtLoss).isEqualTo(log.appendCount() - 1);
  }

  /**
   * Guards against a release with fence -1, from which the next owner would take its position in
   * the order of owners.
   */
  @Test
  void releaseHasTheFenceOfItsTermIfTheOwnerIsFencedMeanwhile() throws Exception {
    hostOne.isFencedAtLoss = true;
    hostOne.ownership.start();
    long fence = hostOne.nextFence();
    hostOne.ownership.stop();
    List<TableRecord> records = log.records(Table.OWNERSHIP);
    OwnershipRecord last =
        new Codec(Map.of())
            .decode(records.get(records.size() - 1).value(), OwnershipRecord.class)
            .get();
    assertThat(last).isEqualTo(new OwnershipRecord("one", 1, fence, true));
    assertThat(hostOne.losses).hasSize(1);
  }

  /** Guards against a candidate that floods a log which refuses appends but serves reads. */
  @Test
  void refusedClaimIsRetriedWithDelay() throws Exception {
    log.refusedAppends = Integer.MAX_VALUE;
    // The name's hash yields a claim delay of 0 ms.
    Candidate first = new Candidate("host-41", 1);
    first.ownership.start();
    TimeUnit.MILLISECONDS.sleep(1_000);
    first.ownership.stop();
    assertThat(log.appendCount()).isBetween(1, 11);
  }

  /**
   * Guards against fences that do not increase, and against a slow takeover after a planned stop.
   */
  @Test
  void releasedOwnershipPassesToAnotherHostWithHigherFence() throws Exception {
    hostOne.ownership.start();
    long first = hostOne.nextFence();
    hostTwo.ownership.start();
    assertThat(hostTwo.terms).isEmpty();
    hostOne.ownership.stop();
    assertThat(hostOne.losses.poll(1, TimeUnit.SECONDS)).isTrue();
    assertThat(hostTwo.nextFence()).isGreaterThan(first);
  }

  /** Guards against waiting for the claim timeout after a restart of the owner's host. */
  @Test
  void restartedOwnerClaimsWithoutTimeout() throws Exception {
    log.appendAt(Table.OWNERSHIP, 0, record(new OwnershipRecord("one", 0, 0, false)));
    long before = CLOCK.getAsLong();
    hostOne.ownership.start();
    assertThat(hostOne.nextFence()).isEqualTo(2);
    assertThat(CLOCK.getAsLong() - before).isLessThan(Ownership.CLAIM_AFTER_MILLIS);
  }

  private static TableRecord record(OwnershipRecord value) {
    return new TableRecord("fleet", new Codec(Map.of()).encode(value));
  }

  /** Guards against an owner on a small host while a larger host could claim. */
  @Test
  void hostWithoutClaimDelayClaimsFirst() throws Exception {
    hostOne.claimDelayMillis = 3_000;
    hostOne.ownership.start();
    hostTwo.ownership.start();
    assertThat(hostTwo.nextFence()).isEqualTo(1);
    assertThat(hostOne.terms).isEmpty();
  }

  /**
   * Guards against a handover without a successor, and against one that disables later claims of
   * the host.
   */
  @Test
  void ownershipPassesToAnotherHostAndBack() throws Exception {
    hostOne.ownership.start();
    long first = hostOne.nextFence();
    hostTwo.ownership.start();
    hostOne.claimDelayMillis = 3_000;
    hostOne.ownership.handOver();
    assertThat(hostOne.losses.poll(5, TimeUnit.SECONDS)).isTrue();
    long second = hostTwo.nextFence();
    assertThat(second).isGreaterThan(first);

    hostOne.claimDelayMillis = 0;
    hostTwo.ownership.stop();
    assertThat(hostOne.nextFence()).isGreaterThan(second);
  }

  /**
   * Guards against two terms with one fence: a host whose release was not written reads its own
   * last record, which it must not treat as a claim.
   */
  @Test
  void unwrittenReleaseEndsTerm() throws Exception {
    hostOne.ownership.start();
    long first = hostOne.nextFence();
    log.refusedAppends = 1;
    hostOne.ownership.handOver();
    assertThat(hostOne.losses.poll(5, TimeUnit.SECONDS)).isTrue();
    assertThat(hostOne.nextFence()).isGreaterThan(first);
  }

  /**
   * Guards against orders under an old fence: a paused term of a host went on when the host, which
   * had claimed again, renewed its next term.
   */
  @Test
  void renewalsOfTheNextTermAreNotThoseOfAnEndedOne() throws Exception {
    hostOne.ownership.start();
    long first = hostOne.nextFence();
    assertThat(hostOne.ownership.renewalAgeMillis(first)).isLessThan(5_000);
    hostOne.ownership.handOver();
    long second = hostOne.nextFence();
    assertThat(hostOne.ownership.renewalAgeMillis(second)).isLessThan(5_000);
    assertThat(hostOne.ownership.renewalAgeMillis(first)).isEqualTo(Long.MAX_VALUE);
  }

  /**
   * Guards against orders of an owner that resumes after a pause in which another host may have
   * claimed: its last renewal is within the time for which it goes on without the store.
   */
  @Test
  void renewalBeforeAPauseDoesNotCountUntilTheNextAttempt() throws Exception {
    hostOne.ownership.start();
    long fence = hostOne.nextFence();
    hostOne.pausedMillis = 5_000;
    assertThat(hostOne.ownership.renewalAgeMillis(fence)).isEqualTo(Long.MAX_VALUE);
    TimeUnit.MILLISECONDS.sleep(1_200);
    assertThat(hostOne.ownership.renewalAgeMillis(fence)).isLessThan(2_000);
    assertThat(hostOne.losses).isEmpty();
  }

  /** Guards against an owner that stops all work as soon as the store does not answer. */
  @Test
  void renewalCountsWhileFurtherAttemptsFail() throws Exception {
    hostOne.ownership.start();
    long fence = hostOne.nextFence();
    log.isDown = true;
    long until = CLOCK.getAsLong() + 6_500;
    while (CLOCK.getAsLong() < until) {
      assertThat(hostOne.ownership.renewalAgeMillis(fence)).isLessThan(8_000);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /**
   * Guards against orders of an owner that was paused during a renewal, which failed by that: the
   * failure says nothing about the store, and another host may have claimed meanwhile.
   */
  @Test
  void failedRenewalThatCoversAPauseIsNoSignOfAnOutage() throws Exception {
    CountDownLatch paused = new CountDownLatch(1);
    hostOne.ownership.start();
    long fence = hostOne.nextFence();
    hostOne.onOwnershipThread =
        () -> {
          if (hostOne.pausedMillis == 0) {
            log.isDown = true;
            hostOne.pausedMillis = 3_000;
            paused.countDown();
          }
        };
    assertThat(paused.await(5, TimeUnit.SECONDS)).isTrue();
    TimeUnit.MILLISECONDS.sleep(100);
    assertThat(hostOne.ownership.renewalAgeMillis(fence)).isEqualTo(Long.MAX_VALUE);
  }

  /** Guards against a refusal of an old order that ends the next term of the same host. */
  @Test
  void refusalOfAnEndedTermDoesNotEndTheNextOne() throws Exception {
    hostOne.ownership.start();
    long first = hostOne.nextFence();
    hostOne.ownership.handOver();
    long second = hostOne.nextFence();
    hostOne.ownership.stepDown(first);
    assertThat(hostOne.ownership.isOwner()).isTrue();
    assertThat(hostOne.losses).hasSize(1);
    hostOne.ownership.stepDown(second);
    assertThat(hostOne.losses).hasSize(2);
  }

  /** Guards against a renewal with fence -1, if the term ends just before it is sent. */
  @Test
  void renewalHasTheFenceOfItsTermIfTheTermEndsMeanwhile() throws Exception {
    hostOne.ownership.start();
    long fence = hostOne.nextFence();
    hostOne.onOwnershipThread = () -> hostOne.ownership.stepDown(fence);
    assertThat(hostOne.nextFence()).isGreaterThan(fence);
    Codec codec = new Codec(Map.of());
    assertThat(log.records(Table.OWNERSHIP))
        .allSatisfy(
            record ->
                assertThat(codec.decode(record.value(), OwnershipRecord.class).get().fence())
                    .isNotNegative());
  }

  /** Guards against two concurrent owners: a renewal after another host's claim must fail. */
  @Test
  void supersededOwnerStepsDown() throws Exception {
    hostOne.ownership.start();
    hostOne.nextFence();
    // The claim of another host, appended after the newest record.
    OwnershipRecord claim = new OwnershipRecord("three", 3, 0, false);
    AppendResult result;
    do {
      long end = log.records(Table.OWNERSHIP).size();
      result = log.appendAt(Table.OWNERSHIP, end, record(claim));
    } while (!(result instanceof AppendResult.Appended));
    assertThat(hostOne.losses.poll(5, TimeUnit.SECONDS)).isTrue();
  }

  /**
   * Guards against a second term with the fence of an ended one: its appends would reuse sequence
   * numbers, and the log would drop or refuse them.
   */
  @Test
  void nextTermAfterExpiryHasHigherFence() throws Exception {
    hostOne.ownership.start();
    long first = hostOne.nextFence();
    // The renewal after the lost response conflicts, and the conflicting record has expired.
    log.expiredReads = 1;
    log.lostResponses = 1;
    assertThat(hostOne.losses.poll(5, TimeUnit.SECONDS)).isTrue();
    assertThat(hostOne.nextFence()).isGreaterThan(first);
  }

  /**
   * Guards against a burst without an owner: the store refused the owner alone for 7 s, which
   * started nothing from then on, and the next owner ordered no hosts for 2 s after its claim.
   */
  @ParameterizedTest
  @EnumSource(CutOffLog.Cut.class)
  void ownerWithoutTheStoreHandsOverThroughAnotherHost(CutOffLog.Cut cut) throws Exception {
    hostOne.ownership.start();
    OwnershipTerm first = hostOne.nextTerm();
    hostTwo.ownership.start();
    hostOne.ownLog.cut = cut;
    OwnershipTerm second = hostTwo.nextTerm();
    assertThat(second.fence()).isGreaterThan(first.fence());
    assertThat(second.isHandedOver()).isTrue();
    assertThat(second.previousFence()).isEqualTo(first.fence());
    assertThat(hostOne.losses).hasSize(1);
  }

  /** Guards against a handover that leaves the fleet without an owner while the store is down. */
  @Test
  void ownerKeepsItsTermWhileNoHostReachesTheStore() throws Exception {
    hostOne.ownership.start();
    hostOne.nextFence();
    log.isDown = true;
    assertThat(hostOne.losses.poll(2, TimeUnit.SECONDS)).isNull();
    log.isDown = false;
    assertThat(hostOne.losses.poll(2, TimeUnit.SECONDS)).isNull();
  }

  /** Guards against a handover because answers of the store are lost now and then. */
  @Test
  void ownerKeepsItsTermAfterALostAnswer() throws Exception {
    hostOne.ownership.start();
    hostOne.nextFence();
    log.lostResponses = 2;
    assertThat(hostOne.losses.poll(3, TimeUnit.SECONDS)).isNull();
  }

  /**
   * Guards against an owner that is suspended and resumes: its monotonic clock has stood still, so
   * that its last renewal looks recent although another host owns the fleet.
   */
  @Test
  void renewalIsOldAfterASuspension() {
    RenewalAge age = new RenewalAge();
    age.renewed(1_000, 50_000);
    assertThat(age.millis(1_100, 50_100)).isEqualTo(100);
    assertThat(age.millis(1_101, 59_000)).isEqualTo(9_000);
    // A wall clock that was set back does not make the renewal look recent.
    assertThat(age.millis(4_000, 20_000)).isEqualTo(3_000);
  }
}
