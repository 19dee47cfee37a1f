package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests what a host believes after it was suspended. */
class SuspensionAwareClockTest {
  private final AtomicLong monotonic = new AtomicLong(1_000);
  private final AtomicLong wall = new AtomicLong(50_000);
  private final InstantSource wallClock = () -> Instant.ofEpochMilli(wall.get());
  private final SuspensionAwareClock clock = new SuspensionAwareClock(monotonic::get, wallClock);

  private void pass(long monotonicMillis, long wallMillis) {
    monotonic.addAndGet(monotonicMillis);
    wall.addAndGet(wallMillis);
  }

  /**
   * Guards against a host that was suspended and then decides by tables that it read before, since
   * its monotonic clock has stood still.
   */
  @Test
  void tableThatWasReadBeforeASuspensionIsOld() throws InterruptedException {
    FakeKeyedLog log = new FakeKeyedLog();
    OperationsReplica operations = new OperationsReplica(new FakeConfigurations(), clock);
    TableFollower follower = new TableFollower(log, Table.OPERATIONS, operations, clock, 0, 0);
    follower.start();
    while (!follower.isLoaded()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    log.isDown = true;
    TimeUnit.MILLISECONDS.sleep(50);
    pass(100, 9_100);
    assertThat(follower.ageMillis()).isEqualTo(9_100);
    follower.stop();
  }

  /** Guards against tables that look recent after the wall clock was set back. */
  @Test
  void wallClockThatIsSetBackDoesNotCount() {
    long before = clock.getAsLong();
    pass(1_000, -30_000);
    assertThat(clock.getAsLong() - before).isEqualTo(1_000);
    pass(0, 4_000);
    assertThat(clock.getAsLong() - before).isEqualTo(5_000);
  }

  /** Guards against a clock that runs fast because its two readings are rounded differently. */
  @Test
  void smallDifferencesOfTheClocksDoNotAddUp() {
    long before = clock.getAsLong();
    for (int i = 0; i < 1_000; i++) {
      pass(10, i % 2 == 0 ? 11 : 9);
      clock.getAsLong();
    }
    assertThat(clock.getAsLong() - before).isEqualTo(10_000);
  }
}
