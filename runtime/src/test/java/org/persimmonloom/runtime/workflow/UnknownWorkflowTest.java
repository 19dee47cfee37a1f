package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests what hosts answer about a workflow that another host has accepted. */
class UnknownWorkflowTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();
  private static final SubmissionLimits LIMITS = new SubmissionLimits(500, 100, 900);
  private static final WorkflowMetrics METRICS = new WorkflowMetrics();
  private static final String ID = PeerAppendTest.workflow().id();

  /** Time of a search in the code before, with a failed read and two silent hosts, in ms. */
  private static final long MAX_ANSWER_MILLIS = 2_000;

  private final FakeKeyedLog store = new FakeKeyedLog();
  private final List<Runnable> cleanups = new ArrayList<>();
  private final HostDirectory directory = new HostDirectory("asked");
  private final Host asked = new Host(directory);
  private int registrations;

  /** The components of an entry host that answer questions about workflows. */
  private final class Host {
    final StallingLog log = new StallingLog();
    final WorkflowReplica workflows = new WorkflowReplica();
    final TableFollower follower = new TableFollower(log, Table.WORKFLOWS, workflows, CLOCK, 0, 0);
    final TableWriter writer =
        new TableWriter(log, Table.WORKFLOWS, "host" + cleanups.size(), 1, METRICS, CLOCK);
    final SubmissionService submissions;

    Host(HostDirectory hosts) {
      submissions =
          new SubmissionService(
              workflows,
              follower,
              writer,
              new PeerClient(new OkHttpClient()),
              hosts,
              LIMITS,
              METRICS,
              CLOCK);
      cleanups.add(follower::stop);
      cleanups.add(writer::stop);
    }

    /** Loads the table, and stops the follower's own reads, so that only questions cause some. */
    void loadOnce() throws InterruptedException {
      follower.start();
      await(follower::isLoaded);
      follower.stop();
      TimeUnit.MILLISECONDS.sleep(50);
      writer.start();
      log.reads = 0;
    }

    /** Starts the server for other hosts and registers it. */
    void serve() throws IOException {
      InetSocketAddress address;
      try (ServerSocket socket = new ServerSocket(0)) {
        address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
      }
      PeerServer server =
          new PeerServer(log, submissions, null, writer, METRICS, () -> true, CLOCK, address);
      server.start();
      cleanups.add(server::stop);
      register(address.getPort());
    }
  }

  /** One host's way to the store, which may be cut or be slow. */
  private final class StallingLog implements KeyedLog {
    volatile boolean isCut;
    volatile boolean isRefusingAppends;
    volatile int reads;
    volatile Runnable beforeAnswer = () -> {};

    @Override
    public LogReadResult read(Table table, long from, int waitMillis) {
      synchronized (this) {
        reads++;
      }
      LogReadResult result =
          isCut ? new LogReadResult.Unavailable("cut off") : store.read(table, from, waitMillis);
      beforeAnswer.run();
      return result;
    }

    @Override
    public LogReadResult readNewest(Table table) {
      return isCut ? new LogReadResult.Unavailable("cut off") : store.readNewest(table);
    }

    @Override
    public AppendResult append(Table table, Sequence sequence, List<TableRecord> records) {
      return isCut || isRefusingAppends
          ? new AppendResult.Refused("cut off")
          : store.append(table, sequence, records);
    }

    @Override
    public AppendResult appendAt(Table table, long expectedEnd, TableRecord record) {
      return isCut
          ? new AppendResult.Refused("cut off")
          : store.appendAt(table, expectedEnd, record);
    }
  }

  @BeforeEach
  void start() throws InterruptedException {
    asked.loadOnce();
  }

  @AfterEach
  void stop() {
    cleanups.forEach(Runnable::run);
  }

  private void register(int port) {
    TableRecord record =
        new HostDirectory("h" + registrations).registration(new HostRecord("127.0.0.1:" + port, 1));
    directory.apply(new StoredRecord(registrations, record));
    registrations++;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long until = CLOCK.getAsLong() + 5_000;
    while (!condition.getAsBoolean() && CLOCK.getAsLong() < until) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** Another host accepts the workflow. */
  private void acceptElsewhere() {
    TableRecord submission = new WorkflowRecords().submission(PeerAppendTest.workflow());
    store.append(Table.WORKFLOWS, new KeyedLog.Sequence("elsewhere", 1, 1), List.of(submission));
  }

  private static SubmissionService.Result cancel(Host host) {
    return host.submissions.cancel(ID).orTimeout(5, TimeUnit.SECONDS).join();
  }

  /** Starts a host that answers each question with the status. */
  private void serveStatus(int status) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    server.start();
    cleanups.add(() -> server.stop(0));
    register(server.getAddress().getPort());
  }

  /** Starts a host that accepts connections and never answers. */
  private void serveNothing() throws IOException {
    ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    cleanups.add(
        () -> {
          try {
            silent.close();
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
    register(silent.getLocalPort());
  }

  /** Guards against an acknowledged cancellation of an accepted workflow that is not recorded. */
  @Test
  void workflowAcceptedElsewhereIsNotUnknownToAHostThatCannotRead() {
    asked.log.isCut = true;
    acceptElsewhere();
    assertThat(asked.submissions.isCurrent()).isTrue();
    assertThat(asked.submissions.lookUp(ID).isUnknown()).isFalse();
    assertThat(cancel(asked)).isEqualTo(SubmissionService.Result.REFUSED);
  }

  /** Guards against a host that calls a workflow unknown for another one by its age alone. */
  @Test
  void workflowAcceptedElsewhereIsNotUnknownByTheWordOfAHostThatCannotRead() throws Exception {
    Host peer = new Host(new HostDirectory("peer"));
    peer.loadOnce();
    peer.serve();
    peer.log.isCut = true;
    asked.log.isCut = true;
    acceptElsewhere();
    assertThat(peer.submissions.isCurrent()).isTrue();
    assertThat(asked.submissions.lookUp(ID).isUnknown()).isFalse();
    assertThat(cancel(asked)).isEqualTo(SubmissionService.Result.REFUSED);
  }

  /** Guards against another host that answers by what it read before the question. */
  @Test
  void otherHostReadsTheLogBeforeItCallsAWorkflowUnknown() throws Exception {
    Host peer = new Host(new HostDirectory("peer"));
    peer.loadOnce();
    peer.serve();
    asked.log.isCut = true;
    await(() -> asked.submissions.lookUp(ID).isUnknown());
    acceptElsewhere();
    assertThat(asked.submissions.lookUp(ID).state()).contains(WorkflowState.PENDING);
  }

  /** Guards against hosts of earlier versions, which call workflows unknown by their age. */
  @Test
  void unknownByTheWordOfAnEarlierVersionIsNotBelieved() throws Exception {
    serveStatus(404);
    asked.log.isCut = true;
    assertThat(asked.submissions.lookUp(ID).isUnknown()).isFalse();
  }

  /** Guards against a result, or a delay of it, by hosts that stand still or cannot read either. */
  @Test
  void hostsThatCannotAnswerDoNotDecide() throws Exception {
    serveNothing();
    serveStatus(503);
    Host peer = new Host(new HostDirectory("peer"));
    peer.loadOnce();
    peer.serve();
    asked.log.isCut = true;
    await(() -> asked.submissions.lookUp(ID).isUnknown());
    acceptElsewhere();
    long started = CLOCK.getAsLong();
    assertThat(asked.submissions.lookUp(ID).state()).contains(WorkflowState.PENDING);
    assertThat(CLOCK.getAsLong() - started).isLessThan(MAX_ANSWER_MILLIS);
  }

  /** Guards against a caller without an answer while the store and other hosts stand still. */
  @Test
  void callerIsAnsweredInTimeWhileNobodyAnswers() throws Exception {
    serveNothing();
    serveNothing();
    CountDownLatch end = new CountDownLatch(1);
    asked.log.beforeAnswer = () -> awaitAtMost(end, 5_000);
    long started = CLOCK.getAsLong();
    assertThat(
            CompletableFuture.supplyAsync(() -> cancel(asked))
                .get(MAX_ANSWER_MILLIS, TimeUnit.MILLISECONDS))
        .isEqualTo(SubmissionService.Result.REFUSED);
    assertThat(CLOCK.getAsLong() - started).isLessThan(MAX_ANSWER_MILLIS);
    end.countDown();
  }

  /** Guards against an answer by a read that another question had begun before. */
  @Test
  void readThatBeganBeforeTheQuestionProvesNothing() throws Exception {
    // Reads of a table take turns, so that the read of the second caller waits for that of the
    // first.
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch end = new CountDownLatch(1);
    asked.log.beforeAnswer =
        () -> {
          begun.countDown();
          awaitAtMost(end, 5_000);
        };
    ExecutorService callers = Executors.newCachedThreadPool(DaemonThreads.named("caller"));
    cleanups.add(callers::shutdownNow);
    for (int caller = 0; caller < 2; caller++) {
      callers.execute(() -> asked.submissions.lookUp(ID));
    }
    assertThat(begun.await(5, TimeUnit.SECONDS)).isTrue();
    acceptElsewhere();
    CompletableFuture<WorkflowLookup> late =
        CompletableFuture.supplyAsync(() -> asked.submissions.lookUp(ID), callers);
    TimeUnit.MILLISECONDS.sleep(100);
    end.countDown();
    assertThat(late.get(5, TimeUnit.SECONDS).state()).contains(WorkflowState.PENDING);
  }

  /** Guards against a flood of reads by questions about workflows that do not exist. */
  @Test
  void questionsAboutUnknownWorkflowsShareReads() throws Exception {
    CountDownLatch end = new CountDownLatch(1);
    asked.log.beforeAnswer = () -> awaitAtMost(end, 5_000);
    List<CompletableFuture<SubmissionService.Result>> results =
        IntStream.range(0, 40)
            .mapToObj(number -> asked.submissions.cancel("none" + number))
            .toList();
    end.countDown();
    for (CompletableFuture<SubmissionService.Result> result : results) {
      assertThat(result.get(5, TimeUnit.SECONDS))
          .isEqualTo(SubmissionService.Result.UNKNOWN_WORKFLOW);
    }
    // Two in progress, and one that begins after the last question.
    assertThat(asked.log.reads).isLessThanOrEqualTo(3);
  }

  /**
   * Guards against a cancellation that is answered after its caller's deadline, since the wait for
   * the record begins only after the search.
   */
  @Test
  void cancellationReturnsBeforeTheSearchEnds() throws Exception {
    CountDownLatch end = new CountDownLatch(1);
    asked.log.beforeAnswer = () -> awaitAtMost(end, 5_000);
    CompletableFuture<SubmissionService.Result> result = asked.submissions.cancel(ID);
    assertThat(result).isNotDone();
    end.countDown();
    assertThat(result.get(5, TimeUnit.SECONDS))
        .isEqualTo(SubmissionService.Result.UNKNOWN_WORKFLOW);
  }

  private static void awaitAtMost(CountDownLatch latch, long millis) {
    try {
      latch.await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Guards against tasks that start after an acknowledged cancellation: the submission had no
   * answer and is appended after the cancellation has found nothing.
   */
  @Test
  void submissionThatIsAppendedAfterItsCancellationStaysCancelled() throws Exception {
    assertThat(cancel(asked)).isEqualTo(SubmissionService.Result.UNKNOWN_WORKFLOW);
    assertThat(asked.submissions.lookUp(ID).isUnknown()).isTrue();
    assertThat(cancel(asked)).isEqualTo(SubmissionService.Result.UNKNOWN_WORKFLOW);
    acceptElsewhere();
    assertThat(asked.submissions.lookUp(ID).state()).contains(WorkflowState.CANCELLED);
    assertThat(asked.submissions.pendingCount("q")).isZero();
    Host loading = new Host(directory);
    loading.loadOnce();
    assertThat(loading.submissions.lookUp(ID).state()).contains(WorkflowState.CANCELLED);
  }

  /**
   * Guards against a repeated submission that arrives after the cancellation and is carried out.
   */
  @Test
  void submissionThatIsRepeatedAfterItsCancellationStaysCancelled() {
    assertThat(cancel(asked)).isEqualTo(SubmissionService.Result.UNKNOWN_WORKFLOW);
    assertThat(asked.submissions.submit(PeerAppendTest.workflow()).join())
        .isEqualTo(SubmissionService.Result.ACCEPTED);
    asked.follower.refresh();
    assertThat(asked.submissions.lookUp(ID).state()).contains(WorkflowState.CANCELLED);
    assertThat(asked.submissions.pendingCount("q")).isZero();
  }

  /** Guards against an acknowledged cancellation whose record was refused. */
  @Test
  void cancellationOfAnUnknownWorkflowIsRefusedIfItCannotBeRecorded() {
    asked.log.isRefusingAppends = true;
    assertThat(cancel(asked)).isEqualTo(SubmissionService.Result.REFUSED);
    assertThat(store.records(Table.WORKFLOWS)).isEmpty();
  }

  /** Guards against a host that has started lately and takes its missing table for an empty one. */
  @Test
  void nothingIsUnknownToAHostThatHasNotLoadedItsTable() {
    Host started = new Host(directory);
    assertThat(started.submissions.lookUp(ID).isUnknown()).isFalse();
    assertThat(cancel(started)).isEqualTo(SubmissionService.Result.REFUSED);
  }
}
