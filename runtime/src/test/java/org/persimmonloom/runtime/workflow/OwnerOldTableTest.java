package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
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
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;

/** Tests what an owner starts whose renewals succeed while its reads of the workflows are late. */
class OwnerOldTableTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();
  private static final TableRecord RECORD = new TableRecord("w1", new byte[] {1});

  /** Least time after which a cancelled workflow may not start, in every deployment. */
  private static final long CANCEL_MILLIS = 3_000;

  private static final int FOLLOWER_WAIT_MILLIS = 1_000;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final LateReadsLog ownLog = new LateReadsLog(log);
  private final WorkflowReplica workflows = new WorkflowReplica();
  private final TableFollower follower =
      new TableFollower(ownLog, Table.WORKFLOWS, workflows, CLOCK, FOLLOWER_WAIT_MILLIS, 20);
  private final OperationsReplica operations =
      new OperationsReplica(new OwnerSessionTest.FixedConfigurationDecoder(), CLOCK);
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
              new OwnerSessionTest.FixedConfigurationDecoder(),
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

  /** Answer to each order. */
  private volatile CompletableFuture<CallResult> answer =
      CompletableFuture.completedFuture(CallResult.ACCEPTED);

  private final class AnsweringWorker implements WorkerGateway {
    @Override
    public CompletableFuture<CallResult> send(Order order, long fence) {
      if (order instanceof Order.Start) {
        starts.add(order.task().toString());
      }
      return answer;
    }

    @Override
    public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
      WorkerReport report = new WorkerReport(CLOCK.getAsLong(), 1, List.of(), List.of());
      return CompletableFuture.completedFuture(new HoldAnswer(CallResult.ACCEPTED, report));
    }
  }

  @BeforeEach
  void startTerm() throws Exception {
    submit("f1");
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    TimeUnit.MILLISECONDS.sleep(600);
  }

  @AfterEach
  void stop() {
    ownLog.reads = LateReadsLog.Reads.USUAL;
    session.stop();
    follower.stop();
  }

  private void submit(String id) {
    submit(id, PeerAppendTest.workflow().steps());
  }

  private void submit(String id, List<StepSpec> steps) {
    WorkflowSpec spec = PeerAppendTest.workflow();
    append(
        new WorkflowRecords()
            .submission(new WorkflowSpec(id, spec.policy(), "", steps, 0, 0, 0, 1)));
  }

  private void append(TableRecord record) {
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("other", 1, ++appends), List.of(record));
  }

  private void addWorker() {
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, 1), List.of(RECORD));
  }

  /** Guards against starts of workflows that were cancelled longer ago than a start may follow. */
  @ParameterizedTest
  @EnumSource(
      value = LateReadsLog.Reads.class,
      names = {"FAILING", "HANGING"})
  void cancelledWorkflowIsNotStartedByAnOldTable(LateReadsLog.Reads late) throws Exception {
    ownLog.reads = late;
    append(new WorkflowRecords().cancellation("f1"));
    TimeUnit.MILLISECONDS.sleep(CANCEL_MILLIS);
    addWorker();
    assertThat(starts.poll(2_000, TimeUnit.MILLISECONDS)).isNull();

    ownLog.reads = LateReadsLog.Reads.USUAL;
    submit("f2");
    assertThat(starts.poll(3, TimeUnit.SECONDS)).startsWith("f2");
  }

  /**
   * Guards against starts that were decided in time and wait behind others of their worker until
   * the table is old.
   */
  @Test
  void queuedStartIsNotSentOnceTheTableIsOld() throws Exception {
    append(new WorkflowRecords().cancellation("f1"));
    StepSpec step = PeerAppendTest.workflow().steps().get(0);
    CompletableFuture<CallResult> late = new CompletableFuture<>();
    answer = late;
    submit("f2", List.of(step, step, step, step, step, step));
    TimeUnit.MILLISECONDS.sleep(300);
    addWorker();
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).startsWith("f2");
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).startsWith("f2");

    ownLog.reads = LateReadsLog.Reads.FAILING;
    append(new WorkflowRecords().cancellation("f2"));
    TimeUnit.MILLISECONDS.sleep(CANCEL_MILLIS);
    late.complete(CallResult.ACCEPTED);
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).isNull();
  }

  /** Guards against a read that stands still and keeps an owner from starting for seconds. */
  @Test
  void readThatHangsIsReplacedByAnother() throws Exception {
    ownLog.reads = LateReadsLog.Reads.ONE_HANGING;
    TimeUnit.MILLISECONDS.sleep(CANCEL_MILLIS);
    addWorker();
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).startsWith("f1");
  }

  /**
   * Guards against a read of missing records that trickles, as reads have no total time limit, and
   * keeps the owner's reads on demand waiting for its turn.
   */
  @Test
  void readThatHangsAfterAFailureIsReplacedByAnother() throws Exception {
    ownLog.reads = LateReadsLog.Reads.FAILING;
    TimeUnit.MILLISECONDS.sleep(300);
    ownLog.reads = LateReadsLog.Reads.ONE_HANGING;
    TimeUnit.MILLISECONDS.sleep(CANCEL_MILLIS);
    addWorker();
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).startsWith("f1");
  }

  /** Guards against starts that wait during an outage that is too short to matter. */
  @Test
  void shortOutageOfReadsHoldsNoStartBack() throws Exception {
    ownLog.reads = LateReadsLog.Reads.FAILING;
    TimeUnit.MILLISECONDS.sleep(500);
    addWorker();
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).startsWith("f1");
  }

  /** Guards against an owner that starts by fits and starts beside an idle or slow store. */
  @ParameterizedTest
  @ValueSource(longs = {0, 300})
  void idleOrSlowStoreHoldsNoStartBack(long delayMillis) throws Exception {
    ownLog.delayMillis = delayMillis;
    try (LogLines lines = new LogLines("event=starts_held")) {
      assertThat(lines.poll(5_000)).isNull();
    }
    addWorker();
    assertThat(starts.poll(1_000, TimeUnit.MILLISECONDS)).startsWith("f1");
  }
}
