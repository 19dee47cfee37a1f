package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Guards against a thread that ends with an error, such as a stack overflow at a deeply nested
 * record, while the others go on: an owner would renew but no longer decide, or the reverse.
 */
class ThreadsAfterErrorsTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicBoolean hasFailed = new AtomicBoolean();

  private void failOnce() {
    if (!hasFailed.getAndSet(true)) {
      throw new StackOverflowError();
    }
  }

  @Test
  void ownerLoopRepeatsItsTaskAfterAnError() throws Exception {
    OwnerLoop loop = new OwnerLoop(1, new OwnerLoad(new WorkflowMetrics()));
    CountDownLatch runs = new CountDownLatch(2);
    loop.repeat(
        () -> {
          runs.countDown();
          failOnce();
        },
        10);
    assertThat(runs.await(3, TimeUnit.SECONDS)).isTrue();
    loop.stop();
  }

  @Test
  void ownershipIsClaimedAfterAnError() throws Exception {
    log.beforeNewest = table -> failOnce();
    CountDownLatch gained = new CountDownLatch(1);
    Ownership ownership =
        new Ownership(
            new OwnershipTable(log, log::relay),
            "host-41",
            1,
            CLOCK,
            InstantSource.system(),
            () -> 0,
            new Ownership.Listener() {
              @Override
              public void ownershipGained(OwnershipTerm term) {
                gained.countDown();
              }

              @Override
              public void ownershipLost() {}
            });
    ownership.setMayClaim(() -> true);
    ownership.start();
    assertThat(gained.await(5, TimeUnit.SECONDS)).isTrue();
    ownership.stop();
  }

  @Test
  void tableIsFollowedAfterAnError() throws Exception {
    log.beforeNewest = table -> failOnce();
    TableFollower follower =
        new TableFollower(log, Table.WORKFLOWS, new WorkflowReplica(), CLOCK, 0, 0);
    follower.start();
    long until = CLOCK.getAsLong() + 3_000;
    while (!follower.isLoaded() && CLOCK.getAsLong() < until) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(follower.isLoaded()).isTrue();
    follower.stop();
  }

  @Test
  void recordsAreWrittenAfterAnError() throws Exception {
    log.beforeAppend = this::failOnce;
    TableWriter writer =
        new TableWriter(log, Table.WORKFLOWS, "host", 1, new WorkflowMetrics(), CLOCK);
    writer.start();
    TableRecord record = new TableRecord("s.f1", new byte[] {1});
    assertThat(writer.append(List.of(record), Long.MAX_VALUE))
        .succeedsWithin(3, TimeUnit.SECONDS)
        .isEqualTo(TableWriter.Outcome.WRITTEN);
    writer.stop();
  }
}
