package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.MachineOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;

/** Tests a term of ownership in a fleet without workers. */
class OwnerSessionTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();

  /** Interval at which a silent worker is polled, and some. */
  private static final long POLL_INTERVAL_MILLIS = 160;

  private static final TableRecord RECORD = new TableRecord("c.f1", new byte[] {1});

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final CountDownLatch steppedDown = new CountDownLatch(1);
  private final WorkflowReplica workflows = new WorkflowReplica();
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, workflows, CLOCK, 0, 20);
  private final OperationsReplica operations =
      new OperationsReplica(new FixedConfigurationDecoder(), WorkflowHost.steadyClock());
  private final AtomicLong renewalAge = new AtomicLong();

  /** Called on the owner's loop after a pass has found that its orders are permitted. */
  private volatile Runnable afterCheck = () -> {};

  /** Hold requests that were sent. */
  private final AtomicInteger holds = new AtomicInteger();

  private volatile long lastHoldMillis;

  private final OwnerSession session =
      new OwnerSession(
          new OwnershipTerm(5, true, 0),
          new FleetServices(
              "host",
              log,
              new UnreachableWorkers(),
              new EmptyMachineService(),
              request -> Optional.empty(),
              new FixedConfigurationDecoder(),
              workflows,
              follower,
              operations,
              new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000),
              new WorkflowMetrics(),
              CLOCK,
              InstantSource.system()),
          steppedDown::countDown,
          this::renewalAgeMillis);

  private long renewalAgeMillis() {
    long age = renewalAge.get();
    afterCheck.run();
    return age;
  }

  private final class UnreachableWorkers implements WorkerGateway {
    @Override
    public CompletableFuture<CallResult> send(Order order, long fence) {
      return CompletableFuture.completedFuture(CallResult.NOT_SENT);
    }

    @Override
    public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
      holds.incrementAndGet();
      lastHoldMillis = CLOCK.getAsLong();
      return CompletableFuture.completedFuture(new HoldAnswer(CallResult.NOT_SENT, null));
    }
  }

  static final class EmptyMachineService implements MachineService {
    @Override
    public Optional<List<MachineFacts>> list() {
      return Optional.of(List.of());
    }

    @Override
    public MachineOrder.Result send(MachineOrder order, String owner, long fence) {
      return MachineOrder.Result.REFUSED;
    }
  }

  static final class FixedConfigurationDecoder implements PlatformDecoder {
    @Override
    public Optional<FleetConfiguration> configuration(TableRecord record) {
      return Optional.of(new FleetConfiguration(1, List.of(), Set.of("s"), Set.of(), 1_000));
    }

    @Override
    public Optional<WaveOrder> wave(TableRecord record) {
      return Optional.empty();
    }

    @Override
    public TableRecord waveStatus(WaveProgress progress) {
      return RECORD;
    }

    @Override
    public Optional<WorkerFacts> worker(TableRecord record) {
      return Optional.of(
          new WorkerFacts(
              "w1", "127.0.0.1:9", "s", "z", false, new Resources(10_000, 10_000, 0), Set.of(), 1));
    }
  }

  @AfterEach
  void stop() {
    session.stop();
    follower.stop();
  }

  /**
   * Guards against a former owner writing progress after the new owner has read the table: a
   * completed task would start again.
   */
  @Test
  void takeoverRefusesAppendsOfEarlierOwners() throws Exception {
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    KeyedLog.Sequence late = new KeyedLog.Sequence("fleet-owner", 1, 1);
    long until = CLOCK.getAsLong() + 5_000;
    while (log.records(Table.WORKFLOWS).isEmpty() && CLOCK.getAsLong() < until) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(log.append(Table.WORKFLOWS, late, List.of(RECORD)))
        .isInstanceOf(AppendResult.Fenced.class);
  }

  /**
   * Guards against an owner starting tasks of workflows that were submitted after its successor's
   * takeover: at a planned stop, tasks ran twice (mix seed 452171276284).
   */
  @Test
  void ownerStepsDownWhenItReadsNewerTakeover() throws Exception {
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    while (log.records(Table.WORKFLOWS).isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(steppedDown.getCount()).isEqualTo(1);
    KeyedLog.Sequence successor = new KeyedLog.Sequence("fleet-owner", 9, 1);
    log.append(Table.WORKFLOWS, successor, List.of(new WorkflowRecords().takeover(9)));
    assertThat(steppedDown.await(5, TimeUnit.SECONDS)).isTrue();
  }

  /**
   * Guards against waiting tasks without a log line that states the reason; a long-running task had
   * no run for 24 s.
   */
  @Test
  void reasonsForWaitingTasksAreLogged() throws Exception {
    try (LogLines lines = new LogLines("event=not_started")) {
      TableRecord submission = new WorkflowRecords().submission(PeerAppendTest.workflow());
      log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, 1), List.of(submission));
      operations.apply(new StoredRecord(0, RECORD));
      follower.start();
      session.start();
      assertThat(lines.poll(5_000))
          .startsWith("event=not_started fence=5 s.NO_WORKER_USABLE=tasks:1,")
          .contains(",task:f1.0.0.0");
    }
  }

  /**
   * Guards against a term that ends while it loads tables and then replaces the observer of the
   * host's next term, which would start no submitted workflow.
   */
  @Test
  void endedTermDoesNotReplaceObserverOfNextTerm() throws Exception {
    CountDownLatch reading = new CountDownLatch(1);
    CountDownLatch answer = new CountDownLatch(1);
    log.beforeNewest =
        table -> {
          if (table == Table.MAINTENANCE) {
            reading.countDown();
            awaitUninterruptibly(answer);
          }
        };
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(reading.await(5, TimeUnit.SECONDS)).isTrue();
    session.stop();
    AtomicInteger changes = new AtomicInteger();
    workflows.setObserver((entry, isBacklog) -> changes.incrementAndGet());
    answer.countDown();
    TimeUnit.MILLISECONDS.sleep(300);

    TableRecord cancellation = new WorkflowRecords().cancellation("f1");
    workflows.apply(new StoredRecord(7, cancellation));
    assertThat(changes).hasValue(1);
  }

  /**
   * Guards against an owner that renews its record but never starts to decide, after an exception
   * while it loads tables.
   */
  @Test
  void takeoverIsRetriedAfterReadThrows() throws Exception {
    AtomicInteger reads = new AtomicInteger();
    CountDownLatch startedDeciding = new CountDownLatch(1);
    log.beforeNewest =
        table -> {
          if (table == Table.MAINTENANCE && reads.incrementAndGet() <= 2) {
            throw new UncheckedIOException(new IOException("record of 9 bytes"));
          }
          if (table == Table.WORKERS) {
            startedDeciding.countDown();
          }
        };
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(startedDeciding.await(5, TimeUnit.SECONDS)).isTrue();
  }

  /** Starts a term with one worker and pauses its loop in a pass in which it would poll it. */
  private void assertNothingIsSentAfterPause(Runnable duringPause) throws Exception {
    CountDownLatch isPaused = new CountDownLatch(1);
    CountDownLatch isResumed = new CountDownLatch(1);
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, 1), List.of(RECORD));
    afterCheck =
        () -> {
          if (holds.get() > 0 && CLOCK.getAsLong() - lastHoldMillis > POLL_INTERVAL_MILLIS) {
            isPaused.countDown();
            awaitUninterruptibly(isResumed);
          }
        };
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(isPaused.await(5, TimeUnit.SECONDS)).isTrue();
    int holdsBefore = holds.get();
    duringPause.run();
    isResumed.countDown();
    TimeUnit.MILLISECONDS.sleep(500);
    assertThat(holds).hasValue(holdsBefore);
  }

  /**
   * Guards against a term that ended while its loop was paused and that goes on when the next term
   * of the same host renews the ownership.
   */
  @Test
  void endedTermSendsNothingAfterAPause() throws Exception {
    assertNothingIsSentAfterPause(session::stop);
  }

  /** Guards against hold requests of an owner whose last renewal became too old during a pass. */
  @Test
  void nothingIsSentIfTheRenewalIsTooOldAfterAPause() throws Exception {
    assertNothingIsSentAfterPause(() -> renewalAge.set(60_000));
  }

  /** Waits without reacting to interrupts, like a blocking socket read. */
  private static void awaitUninterruptibly(CountDownLatch latch) {
    boolean isInterrupted = false;
    while (latch.getCount() > 0) {
      try {
        latch.await();
      } catch (InterruptedException e) {
        isInterrupted = true;
      }
    }
    if (isInterrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
