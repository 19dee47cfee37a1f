package org.persimmonloom.runtime.workflow;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.workflow.TableRecord;

/** The removal of ended workflows by an owner whose replica follows a fake log, on a test clock. */
final class RemovalFixture {
  /** Time for which ended workflows are shown. */
  static final long STATUS_KEPT_MILLIS = 120_000;

  final AtomicLong now = new AtomicLong(1_000_000);
  final FakeKeyedLog log = new FakeKeyedLog();
  final WorkflowReplica workflows = new WorkflowReplica();
  final TableFollower follower = new TableFollower(log, Table.WORKFLOWS, workflows, now::get, 0, 0);
  private final WorkflowMetrics metrics = new WorkflowMetrics();
  private final TableWriter writer =
      new TableWriter(log, Table.WORKFLOWS, "owner", 1, metrics, now::get);
  final EndedWorkflowRemoval removal =
      new EndedWorkflowRemoval(
          new FleetServices(
              "host",
              log,
              null,
              null,
              null,
              null,
              workflows,
              follower,
              null,
              new SchedulingSettings(6_000, 8_000, 3_000, 900, STATUS_KEPT_MILLIS),
              metrics,
              now::get,
              () -> Instant.ofEpochMilli(now.get())),
          writer);
  private int appended;

  void start() {
    follower.start();
    writer.start();
  }

  void stop() {
    follower.stop();
    writer.stop();
  }

  /** Appends a record and waits until the replica has it. */
  void append(TableRecord record) throws InterruptedException {
    appendUnread(record);
    awaitFollower();
  }

  /** Appends a record that the replica may not have yet. */
  void appendUnread(TableRecord record) {
    appended++;
    log.append(Table.WORKFLOWS, new KeyedLog.Sequence("host", 1, appended), List.of(record));
  }

  private void awaitFollower() throws InterruptedException {
    while (!follower.isLoaded() || follower.end() < log.records(Table.WORKFLOWS).size()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /** Returns the newest record of the log. */
  TableRecord newest() {
    List<TableRecord> all = log.records(Table.WORKFLOWS);
    return all.get(all.size() - 1);
  }

  /** Lets time pass, and the replica read at its end unless the log is down. */
  void pass(long millis) throws InterruptedException {
    now.addAndGet(millis);
    while (!log.isDown && follower.ageMillis() > 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /** Lets the owner look for expired records after some time. */
  void removeExpiredAfter(long millis) throws InterruptedException {
    pass(millis);
    removal.removeExpired(now.get());
    TimeUnit.MILLISECONDS.sleep(100);
    awaitFollower();
  }
}
