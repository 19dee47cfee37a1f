package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The time from which a claim or renewal counts whose answer was lost. Another host may have read
 * its record since it was sent, and claims {@link Ownership#CLAIM_AFTER_MILLIS} after that.
 */
class OwnershipRenewalTimeTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();
  private static final long LOST_MILLIS = 1_000;

  private final FakeKeyedLog log = new FakeKeyedLog();

  /** Time by which the clock is ahead, as if calls had taken it. */
  private final AtomicLong aheadMillis = new AtomicLong();

  private final AtomicInteger appends = new AtomicInteger();
  private final BlockingQueue<Long> ages = new LinkedBlockingQueue<>();
  private volatile long fence;

  /** Number of the append whose answer is lost. */
  private volatile int lostAppend;

  private final Ownership ownership =
      new Ownership(
          new OwnershipTable(
              losing(log), (expectedEnd, record) -> new AppendResult.Refused("cut off")),
          "one",
          1,
          () -> CLOCK.getAsLong() + aheadMillis.get(),
          InstantSource.system(),
          () -> 0,
          new Ownership.Listener() {
            @Override
            public void ownershipGained(OwnershipTerm term) {
              fence = term.fence();
              recordAge();
            }

            @Override
            public void ownershipLost() {}
          });

  private void recordAge() {
    ages.add(ownership.renewalAgeMillis(fence));
  }

  private KeyedLog losing(KeyedLog delegate) {
    return (KeyedLog)
        Proxy.newProxyInstance(
            KeyedLog.class.getClassLoader(),
            new Class<?>[] {KeyedLog.class},
            (proxy, method, arguments) -> {
              if (!method.getName().equals("appendAt")) {
                return method.invoke(delegate, arguments);
              }
              int number = appends.incrementAndGet();
              if (fence != 0) {
                recordAge();
              }
              Object result = method.invoke(delegate, arguments);
              if (number != lostAppend) {
                return result;
              }
              aheadMillis.addAndGet(LOST_MILLIS);
              return new AppendResult.Unknown("lost");
            });
  }

  private void start() {
    ownership.setMayClaim(() -> true);
    ownership.start();
  }

  private long nextAgeMillis() throws InterruptedException {
    Long age = ages.poll(10, TimeUnit.SECONDS);
    assertThat(age).isNotNull();
    return age;
  }

  @AfterEach
  void stop() throws InterruptedException {
    ownership.stop();
  }

  /** Guards against a new owner that goes on after another host may have claimed. */
  @Test
  void claimCountsFromItsOwnSending() throws Exception {
    lostAppend = 1;
    start();
    assertThat(nextAgeMillis()).isGreaterThanOrEqualTo(LOST_MILLIS);
  }

  /** Guards against an owner that goes on after another host may have claimed. */
  @Test
  void renewalCountsFromItsOwnSendingWhenALaterAttemptFindsIt() throws Exception {
    lostAppend = 2;
    start();
    long gained = nextAgeMillis();
    long atLostRenewal = nextAgeMillis();
    long atNextAttempt = nextAgeMillis();
    long afterConflict = nextAgeMillis();
    assertThat(gained).isLessThan(atNextAttempt);
    assertThat(atNextAttempt).isGreaterThanOrEqualTo(LOST_MILLIS + atLostRenewal);
    assertThat(afterConflict).isGreaterThanOrEqualTo(LOST_MILLIS + 500);
  }
}
