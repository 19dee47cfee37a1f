package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests from when the age of an owner's table counts, with a loop that the test runs. */
class KnownTableTest {
  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong clock = new AtomicLong(10_000);
  private final Queue<Runnable> loop = new ArrayDeque<>();
  private final Queue<Runnable> calls = new ArrayDeque<>();
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, new WorkflowReplica(), clock::get, 0, 0);
  private final AtomicLong requestedPasses = new AtomicLong();
  private final KnownTable known =
      new KnownTable(
          KnownTable.WORKFLOWS,
          5,
          follower,
          loop::add,
          calls::add,
          requestedPasses::incrementAndGet);

  @BeforeEach
  void loadTable() throws Exception {
    follower.start();
    while (!follower.isLoaded()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    // From here on only reads on demand reach the log.
    follower.stop();
    TimeUnit.MILLISECONDS.sleep(50);
  }

  @AfterEach
  void stop() {
    known.stop();
  }

  private static void run(Queue<Runnable> actions) {
    for (Runnable next = actions.poll(); next != null; next = actions.poll()) {
      next.run();
    }
  }

  /** Guards against starts by changes that were read and still wait for the owner's loop. */
  @Test
  void readCountsOnceTheLoopHasAppliedIt() {
    known.start();
    run(loop);
    assertThat(known.ageMillis()).isZero();

    clock.addAndGet(2_000);
    assertThat(follower.refresh()).isTrue();
    known.update();
    assertThat(known.ageMillis()).isEqualTo(2_000);
    run(loop);
    assertThat(known.ageMillis()).isZero();
  }

  /** Guards against additional reads of a young table, and of an old one at every pass. */
  @Test
  void onlyAnOldTableIsReadOnDemand() {
    known.start();
    clock.addAndGet(1_100);
    known.update();
    assertThat(calls).isEmpty();

    log.isDown = true;
    for (int pass = 0; pass < 50; pass++) {
      clock.addAndGet(20);
      known.update();
      run(calls);
    }
    assertThat(log.refusedReads()).isPositive().isLessThanOrEqualTo(1_000 / 200);
    log.isDown = false;
    clock.addAndGet(200);
    known.update();
    run(calls);
    known.update();
    run(loop);
    assertThat(known.ageMillis()).isZero();
  }

  /**
   * Guards against additional reads of an idle table beside a store that answers in time, by a wait
   * of the follower that is too long for the age from which the table is read on demand.
   */
  @Test
  void idleTableIsNotReadOnDemand() throws Exception {
    CountDownLatch polls = new CountDownLatch(20);
    KnownTable[] idle = new KnownTable[1];
    KeyedLog idleLog =
        (KeyedLog)
            Proxy.newProxyInstance(
                KeyedLog.class.getClassLoader(),
                new Class<?>[] {KeyedLog.class},
                (proxy, method, arguments) -> {
                  if (method.getName().equals("read")) {
                    passDuringRead(idle[0], (int) arguments[2]);
                    polls.countDown();
                  }
                  return method.invoke(log, arguments);
                });
    TableFollower idleFollower =
        new TableFollower(idleLog, Table.WORKFLOWS, new WorkflowReplica(), clock::get, 1_000, 0);
    idle[0] =
        new KnownTable(KnownTable.WORKFLOWS, 5, idleFollower, Runnable::run, calls::add, () -> {});
    idle[0].start();
    idleFollower.start();
    assertThat(polls.await(10, TimeUnit.SECONDS)).isTrue();
    idleFollower.stop();
    assertThat(calls).isEmpty();
  }

  /** Lets the wait of a read pass, and the owner decide all the time. */
  private void passDuringRead(KnownTable idle, int waitMillis) {
    for (int passed = 0; passed < waitMillis; passed += 10) {
      clock.addAndGet(10);
      idle.update();
    }
  }

  /** Guards against an age that counts from a late answer instead of from its read. */
  @Test
  void ageCountsFromWhenTheReadWasSent() {
    known.start();
    clock.addAndGet(1_500);
    log.beforeRead = () -> clock.addAndGet(900);
    known.update();
    run(calls);
    known.update();
    run(loop);
    assertThat(known.ageMillis()).isEqualTo(900);
  }

  /** Guards against starts that wait for the next regular pass once the table is young again. */
  @Test
  void passIsRequestedOnceWhenAnOldTableIsYoungAgain() {
    known.start();
    run(loop);
    requestedPasses.set(0);
    clock.addAndGet(3_000);
    known.update();
    run(calls);
    assertThat(requestedPasses).hasValue(0);
    known.update();
    run(loop);
    assertThat(requestedPasses).hasValue(1);
    known.update();
    run(loop);
    assertThat(requestedPasses).hasValue(1);
  }
}
