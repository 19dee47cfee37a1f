package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests when a term of ownership starts tasks, with one worker that answers all calls. */
class OwnerSessionStartTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();
  private static final TableRecord RECORD = new TableRecord("w1", new byte[] {1});

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final WorkflowReplica workflows = new WorkflowReplica();
  private final TableFollower follower =
      new TableFollower(log, Table.WORKFLOWS, workflows, CLOCK, 0, 20);
  private final OperationsReplica operations =
      new OperationsReplica(
          new OwnerSessionTest.FixedConfigurationDecoder(), WorkflowHost.steadyClock());
  private final AtomicLong renewalAge = new AtomicLong();
  private final AnsweringWorker worker = new AnsweringWorker();
  private final OwnerSession session =
      new OwnerSession(
          new OwnershipTerm(5, true, 0),
          new FleetServices(
              "host",
              log,
              worker,
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
          renewalAge::get);

  private static final class AnsweringWorker implements WorkerGateway {
    private final CountDownLatch polled = new CountDownLatch(1);
    private final CountDownLatch started = new CountDownLatch(1);
    private final Semaphore starts = new Semaphore(0);

    /** Answer to each order. */
    private volatile CompletableFuture<CallResult> answer =
        CompletableFuture.completedFuture(CallResult.ACCEPTED);

    @Override
    public CompletableFuture<CallResult> send(Order order, long fence) {
      if (order instanceof Order.Start) {
        started.countDown();
        starts.release();
      }
      return answer;
    }

    @Override
    public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
      polled.countDown();
      WorkerReport report = new WorkerReport(CLOCK.getAsLong(), 1, List.of(), List.of());
      return CompletableFuture.completedFuture(new HoldAnswer(CallResult.ACCEPTED, report));
    }
  }

  @AfterEach
  void stop() {
    session.stop();
    follower.stop();
  }

  /**
   * Guards against a task that starts again after its end: an owner that can't renew has been
   * followed by another one, and starts what that one has started and read as ended.
   */
  @Test
  void ownerThatOthersMayHaveFollowedStartsNothing() throws Exception {
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, 1), List.of(RECORD));
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(worker.polled.await(5, TimeUnit.SECONDS)).isTrue();

    renewalAge.set(Ownership.CLAIM_AFTER_MILLIS);
    TableRecord submission = new WorkflowRecords().submission(PeerAppendTest.workflow());
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, 1), List.of(submission));
    assertThat(worker.started.await(600, TimeUnit.MILLISECONDS)).isFalse();

    renewalAge.set(0);
    assertThat(worker.started.await(5, TimeUnit.SECONDS)).isTrue();
  }

  /**
   * Guards against tasks of a workflow that was submitted after its cancellation, and against
   * records of it that stay.
   */
  @Test
  void workflowThatIsSubmittedAfterItsCancellationStartsNothing() throws Exception {
    WorkflowRecords records = new WorkflowRecords();
    WorkflowSpec spec = PeerAppendTest.workflow();
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, 1), List.of(RECORD));
    log.append(
        Table.WORKFLOWS,
        new KeyedLog.Sequence("host", 1, 1),
        List.of(records.cancellation(spec.id())));
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(worker.polled.await(5, TimeUnit.SECONDS)).isTrue();

    log.append(
        Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, 2), List.of(records.submission(spec)));
    assertThat(worker.started.await(600, TimeUnit.MILLISECONDS)).isFalse();
    assertThat(workflows.state(spec.id())).contains(WorkflowState.CANCELLED);
    assertThat(log.records(Table.WORKFLOWS))
        .anyMatch(
            record ->
                record.key().equals(records.submissionRemoval(spec.id()).key())
                    && record.value() == null);
  }

  /**
   * Guards against a new owner that starts a workflow which was submitted after its cancellation.
   */
  @Test
  void workflowThatWasSubmittedAfterItsCancellationStartsNothingInTheNextTerm() throws Exception {
    WorkflowRecords records = new WorkflowRecords();
    WorkflowSpec spec = PeerAppendTest.workflow();
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, 1), List.of(RECORD));
    log.append(
        Table.WORKFLOWS,
        new KeyedLog.Sequence("host", 1, 1),
        List.of(records.cancellation(spec.id()), records.submission(spec)));
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(worker.polled.await(5, TimeUnit.SECONDS)).isTrue();
    assertThat(worker.started.await(600, TimeUnit.MILLISECONDS)).isFalse();
    assertThat(workflows.state(spec.id())).contains(WorkflowState.CANCELLED);
  }

  /**
   * Guards against a task that starts again after its end: a start waits behind others of its
   * worker until another owner may have followed.
   */
  @Test
  void queuedStartIsNotSentOnceOthersMayHaveFollowed() throws Exception {
    log.append(Table.WORKERS, new KeyedLog.Sequence("w1", 1, 1), List.of(RECORD));
    operations.apply(new StoredRecord(0, RECORD));
    follower.start();
    session.start();
    assertThat(worker.polled.await(5, TimeUnit.SECONDS)).isTrue();

    CompletableFuture<CallResult> answer = new CompletableFuture<>();
    worker.answer = answer;
    WorkflowSpec single = PeerAppendTest.workflow();
    StepSpec step = single.steps().get(0);
    WorkflowSpec wide =
        new WorkflowSpec(
            single.id(),
            single.policy(),
            "",
            List.of(step, step, step, step, step, step),
            0,
            0,
            0,
            1);
    TableRecord submission = new WorkflowRecords().submission(wide);
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, 1), List.of(submission));
    assertThat(worker.starts.tryAcquire(2, 5, TimeUnit.SECONDS)).isTrue();

    renewalAge.set(Ownership.CLAIM_AFTER_MILLIS);
    answer.complete(CallResult.ACCEPTED);
    assertThat(worker.starts.tryAcquire(600, TimeUnit.MILLISECONDS)).isFalse();

    renewalAge.set(0);
    assertThat(worker.starts.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
  }
}
