package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests what a host shows while it loads the table of workflows in the order of the keys. */
class TableLoadTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();
  private static final WorkflowMetrics METRICS = new WorkflowMetrics();
  private static final SubmissionLimits LIMITS = new SubmissionLimits(500, 100, 8_000);
  private static final int OCCURRENCES = 3;

  private final WorkflowRecords records = new WorkflowRecords();
  private final WorkflowSpec series = series();
  private final FakeKeyedLog log = new FakeKeyedLog();
  private final HostDirectory directory = new HostDirectory("loading");
  private final WorkflowReplica workflows = new WorkflowReplica();
  private final TableWriter writer =
      new TableWriter(log, Table.WORKFLOWS, "host", 1, METRICS, CLOCK);

  /** Called on the follower's thread before each record of a load is passed on. */
  private volatile Runnable beforeRecord = () -> {};

  /** Called on the follower's thread before it reads from an offset. */
  private volatile Runnable beforeRead = () -> {};

  /** Called on the follower's thread between the first and the second half of the keys. */
  private volatile Runnable betweenPages = () -> {};

  private final TableFollower follower =
      new TableFollower(new PagedLog(), Table.WORKFLOWS, workflows, CLOCK, 0, 0);
  private final SubmissionService submissions =
      new SubmissionService(
          workflows,
          follower,
          writer,
          new PeerClient(new OkHttpClient()),
          directory,
          LIMITS,
          METRICS,
          CLOCK);
  private int sequence;

  /** Returns the newest records in two pages, in the order of their keys. */
  private final class PagedLog implements KeyedLog {
    @Override
    public LogReadResult readNewest(Table table) {
      List<StoredRecord> first = newest(table);
      long end = log.records(table).size();
      int half = first.size() / 2;
      List<StoredRecord> read = new ArrayList<>(first.subList(0, half));
      betweenPages.run();
      String lastKey = half == 0 ? "" : first.get(half - 1).record().key();
      newest(table).stream()
          .filter(stored -> stored.record().key().compareTo(lastKey) > 0)
          .forEach(read::add);
      return new LogReadResult.Records(observed(read), end, log.records(table).size());
    }

    private List<StoredRecord> newest(Table table) {
      LogReadResult.Records read = (LogReadResult.Records) log.readNewest(table);
      return read.records().stream()
          .sorted(Comparator.comparing(stored -> stored.record().key()))
          .toList();
    }

    private List<StoredRecord> observed(List<StoredRecord> read) {
      return new AbstractList<>() {
        @Override
        public StoredRecord get(int index) {
          beforeRecord.run();
          return read.get(index);
        }

        @Override
        public int size() {
          return read.size();
        }
      };
    }

    @Override
    public LogReadResult read(Table table, long from, int waitMillis) {
      beforeRead.run();
      return log.read(table, from, waitMillis);
    }

    @Override
    public AppendResult append(Table table, Sequence sequence, List<TableRecord> records) {
      return log.append(table, sequence, records);
    }

    @Override
    public AppendResult appendAt(Table table, long expectedEnd, TableRecord record) {
      return log.appendAt(table, expectedEnd, record);
    }
  }

  private static WorkflowSpec series() {
    WorkflowSpec once = PeerAppendTest.workflow();
    return new WorkflowSpec(
        once.id(), once.policy(), once.payload(), once.steps(), OCCURRENCES, 0, 40_000, 0);
  }

  private TableRecord progress(int occurrence, WorkflowState state) {
    return records.progress(
        series.id(),
        occurrence,
        new OccurrenceProgress("q", state, new byte[] {1}, new int[] {1}, new int[][] {{}}, 1));
  }

  private void append(TableRecord... appended) {
    sequence++;
    log.append(
        Table.WORKFLOWS, new KeyedLog.Sequence("fleet-owner", 1, sequence), List.of(appended));
  }

  private void load() {
    follower.start();
    await(follower::isLoaded);
  }

  private static void await(BooleanSupplier condition) {
    long until = CLOCK.getAsLong() + 10_000;
    while (!condition.getAsBoolean() && CLOCK.getAsLong() < until) {
      try {
        TimeUnit.MILLISECONDS.sleep(2);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @AfterEach
  void stop() {
    follower.stop();
    writer.stop();
  }

  /**
   * Guards against a restarted host that shows a series as complete whose later occurrences are
   * due, and confirms its cancellation without recording it: the progress is read first.
   */
  @Test
  void seriesIsNotTakenForCompleteBeforeItsSubmissionIsRead() {
    append(records.submission(series), progress(0, WorkflowState.COMPLETE));
    List<Optional<WorkflowState>> shown = new CopyOnWriteArrayList<>();
    List<SubmissionService.Result> cancelled = new CopyOnWriteArrayList<>();
    beforeRecord =
        () -> {
          shown.add(workflows.state(series.id()));
          shown.add(submissions.lookUp(series.id()).state());
          cancelled.add(submissions.cancel(series.id()).join());
        };
    load();
    assertThat(shown).isNotEmpty().containsOnly(Optional.empty());
    assertThat(cancelled).containsOnly(SubmissionService.Result.REFUSED);
    assertThat(submissions.lookUp(series.id()).state()).contains(WorkflowState.ACTIVE);
  }

  /**
   * Guards against states that no position of the log has: the first occurrence fails and the
   * submission is removed while the pages of the table are read one after the other.
   */
  @Test
  void pagesOfDifferentPositionsAreNotShown() {
    append(
        records.submission(series),
        progress(1, WorkflowState.COMPLETE),
        progress(2, WorkflowState.COMPLETE));
    betweenPages =
        () -> {
          betweenPages = () -> {};
          append(progress(0, WorkflowState.FAILED));
          append(records.submissionRemoval(series.id()));
        };
    List<Optional<WorkflowState>> shown = new CopyOnWriteArrayList<>();
    beforeRead =
        () -> {
          if (follower.isLoaded()) {
            shown.add(workflows.state(series.id()));
          }
        };
    load();
    await(() -> follower.end() == log.records(Table.WORKFLOWS).size() && !shown.isEmpty());
    assertThat(shown).containsOnly(Optional.of(WorkflowState.FAILED));
  }

  /**
   * Guards against a host that knows no workflows, or parts of them, while it loads its table again
   * because its position has expired.
   */
  @Test
  void workflowsStayKnownWhileTheTableIsLoadedAgain() {
    append(records.submission(series), progress(0, WorkflowState.COMPLETE));
    load();
    List<Optional<WorkflowState>> shown = new CopyOnWriteArrayList<>();
    beforeRecord = () -> shown.add(workflows.state(series.id()));
    log.expiredReads = 1;
    await(() -> shown.size() >= 2 && follower.isLoaded());
    assertThat(shown).containsOnly(Optional.of(WorkflowState.ACTIVE));
  }

  /**
   * Guards against an owner that starts an ended workflow again: it forgot the end when it saw the
   * workflow without its submission, which was still to be read.
   */
  @Test
  void observerSeesNoPartsOfAWorkflowInALoad() {
    append(records.submission(series), records.cancellation(series.id()));
    load();
    List<Boolean> hasSubmission = new CopyOnWriteArrayList<>();
    workflows.setObserver((entry, isBacklog) -> hasSubmission.add(entry.spec().isPresent()));
    hasSubmission.clear();
    log.expiredReads = 1;
    await(() -> !hasSubmission.isEmpty() && follower.isLoaded());
    assertThat(hasSubmission).containsOnly(true);
  }

  /** Guards against a host that calls no other host while it loads their addresses again. */
  @Test
  void addressesStayKnownWhileTheyAreLoadedAgain() {
    TableRecord known = new HostDirectory("a").registration(new HostRecord("10.0.0.1:80", 1));
    TableRecord added = new HostDirectory("b").registration(new HostRecord("10.0.0.2:80", 1));
    directory.apply(new StoredRecord(0, known));
    TableFollower.Load load = directory.beginLoad();
    load.add(new StoredRecord(1, added));
    assertThat(directory.otherAddresses()).containsExactly("10.0.0.1:80");
    load.publish();
    assertThat(directory.otherAddresses()).containsExactly("10.0.0.2:80");
  }

  /**
   * Guards against an accepted workflow that is called unknown, because the table is loaded between
   * the search for it and the question whether the table is current.
   */
  @Test
  void workflowThatIsLoadedDuringTheSearchIsNotUnknown() throws IOException {
    append(records.submission(series));
    writer.start();
    HttpServer peer =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    peer.createContext(
        "/",
        exchange -> {
          load();
          exchange.sendResponseHeaders(503, -1);
          exchange.close();
        });
    peer.start();
    try {
      HostRecord registration = new HostRecord("127.0.0.1:" + peer.getAddress().getPort(), 1);
      append(Table.HOSTS, new HostDirectory("peer").registration(registration));
      TableFollower hosts = new TableFollower(log, Table.HOSTS, directory, CLOCK, 0, 0);
      hosts.start();
      await(() -> !directory.otherAddresses().isEmpty());
      hosts.stop();
      assertThat(submissions.cancel(series.id()).join())
          .isNotEqualTo(SubmissionService.Result.UNKNOWN_WORKFLOW);
    } finally {
      peer.stop(0);
    }
  }

  private void append(Table table, TableRecord record) {
    log.append(table, new KeyedLog.Sequence("peer", 1, 1), List.of(record));
  }
}
