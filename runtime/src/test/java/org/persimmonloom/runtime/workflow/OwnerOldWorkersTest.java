package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;

/** Tests what an owner starts whose reads of the workers alone are late. */
class OwnerOldWorkersTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();
  private static final TableRecord READY = new TableRecord("w1", new byte[] {1});
  private static final TableRecord DRAINING = new TableRecord("w1", new byte[] {2});

  /** Time after which a draining worker may be given no task ({@code drain_ms}). */
  private static final long DRAIN_MILLIS = 2_000;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final LateReadsLog ownLog = new LateReadsLog(log, Table.WORKERS);
  private final WorkflowReplica workflows = new WorkflowReplica();
  private final TableFollower follower =
      new TableFollower(ownLog, Table.WORKFLOWS, workflows, CLOCK, 0, 20);
  private final OperationsReplica operations = new OperationsReplica(new StateDecoder(), CLOCK);
  private final BlockingQueue<String> starts = new LinkedBlockingQueue<>();
  private final OwnerSession session =
      new OwnerSession(
          new OwnershipTerm(5, true, 0),
          new FleetServices(
              "host",
              ownLog,
              new AnsweringWorker(),
              new OwnerSessionTest.EmptyMachineService(),
              request -> Optional.empty(),
              new StateDecoder(),
              workflows,
              follower,
              operations,
              new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000),
              new WorkflowMetrics(),
              CLOCK,
              InstantSource.system()),
          () -> {},
          () -> 0);

  private int appends;

  /** Decodes the drain state of a worker from the first byte of its entry. */
  private static final class StateDecoder implements PlatformDecoder {
    private final PlatformDecoder fixed = new OwnerSessionTest.FixedConfigurationDecoder();

    @Override
    public Optional<FleetConfiguration> configuration(TableRecord record) {
      return fixed.configuration(record);
    }

    @Override
    public Optional<WaveOrder> wave(TableRecord record) {
      return fixed.wave(record);
    }

    @Override
    public TableRecord waveStatus(WaveProgress progress) {
      return fixed.waveStatus(progress);
    }

    @Override
    public Optional<WorkerFacts> worker(TableRecord record) {
      boolean isDraining = record.value()[0] == DRAINING.value()[0];
      Resources capacity = new Resources(10_000, 10_000, 0);
      return Optional.of(
          new WorkerFacts("w1", "127.0.0.1:9", "s", "z", isDraining, capacity, Set.of(), 1));
    }
  }

  private final class AnsweringWorker implements WorkerGateway {
    @Override
    public CompletableFuture<CallResult> send(Order order, long fence) {
      if (order instanceof Order.Start) {
        starts.add(order.task().toString());
      }
      return CompletableFuture.completedFuture(CallResult.ACCEPTED);
    }

    @Override
    public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
      WorkerReport report = new WorkerReport(CLOCK.getAsLong(), 1, List.of(), List.of());
      return CompletableFuture.completedFuture(new HoldAnswer(CallResult.ACCEPTED, report));
    }
  }

  @BeforeEach
  void startTerm() throws Exception {
    addEntry(READY);
    submit("f1");
    operations.apply(new StoredRecord(0, READY));
    follower.start();
    session.start();
    assertThat(starts.poll(3, TimeUnit.SECONDS)).startsWith("f1");
  }

  @AfterEach
  void stop() {
    ownLog.reads = LateReadsLog.Reads.USUAL;
    session.stop();
    follower.stop();
  }

  private void addEntry(TableRecord entry) {
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, ++appends), List.of(entry));
  }

  private void submit(String id) {
    WorkflowSpec spec = PeerAppendTest.workflow();
    TableRecord submission =
        new WorkflowRecords()
            .submission(new WorkflowSpec(id, spec.policy(), "", spec.steps(), 0, 0, 0, 1));
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence(id, 1, 1), List.of(submission));
  }

  private String nextStartOf(String workflow) throws InterruptedException {
    long endMillis = CLOCK.getAsLong() + 1_000;
    String start;
    do {
      start = starts.poll(Math.max(0, endMillis - CLOCK.getAsLong()), TimeUnit.MILLISECONDS);
    } while (start != null && !start.startsWith(workflow));
    return start;
  }

  @Test
  void drainingWorkerThatTheOwnerHasReadGetsNoTask() throws Exception {
    addEntry(DRAINING);
    TimeUnit.MILLISECONDS.sleep(500);
    submit("f2");
    assertThat(nextStartOf("f2")).isNull();
  }

  /** Guards against starts on a worker whose entry has shown for long that it is draining. */
  @ParameterizedTest
  @EnumSource(
      value = LateReadsLog.Reads.class,
      names = {"FAILING", "HANGING"})
  void drainingWorkerGetsNoTaskByAnOldTable(LateReadsLog.Reads late) throws Exception {
    ownLog.reads = late;
    addEntry(DRAINING);
    TimeUnit.MILLISECONDS.sleep(2 * DRAIN_MILLIS);
    submit("f2");
    assertThat(nextStartOf("f2")).isNull();

    ownLog.reads = LateReadsLog.Reads.USUAL;
    addEntry(READY);
    assertThat(nextStartOf("f2")).isNotNull();
  }

  /** Guards against a read that stands still and keeps an owner from starting for seconds. */
  @Test
  void readThatHangsIsReplacedByAnother() throws Exception {
    ownLog.reads = LateReadsLog.Reads.ONE_HANGING;
    TimeUnit.MILLISECONDS.sleep(2 * DRAIN_MILLIS);
    submit("f2");
    assertThat(nextStartOf("f2")).isNotNull();
  }

  /** Guards against an owner that starts by fits and starts beside an idle or slow store. */
  @ParameterizedTest
  @ValueSource(longs = {0, 300})
  void idleOrSlowStoreHoldsNoStartBack(long delayMillis) throws Exception {
    ownLog.delayMillis = delayMillis;
    try (LogLines lines = new LogLines("event=starts_held")) {
      assertThat(lines.poll(5_000)).isNull();
    }
    submit("f2");
    assertThat(nextStartOf("f2")).isNotNull();
  }

  /** Guards against a held start whose cause the log does not name. */
  @Test
  void heldStartsNameTheOldTable() throws Exception {
    try (LogLines lines = new LogLines("event=starts_held")) {
      ownLog.reads = LateReadsLog.Reads.FAILING;
      assertThat(lines.poll(5_000)).contains(" workers_age_ms=", " table=WORKERS");
    }
  }
}
