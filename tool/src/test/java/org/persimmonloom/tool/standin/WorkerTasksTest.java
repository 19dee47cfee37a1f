package org.persimmonloom.tool.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.TaskState;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.runtime.worker.RenewRequest;
import org.persimmonloom.runtime.worker.StartRequest;
import org.persimmonloom.runtime.worker.TaskRequest;

/** A stand-in that breaks a worker's rules would hide faults of the controller. */
class WorkerTasksTest {
  private static final long LEASE_MILLIS = 1_000;

  private long nowMillis = 10_000;
  private final TaskLedger ledger = new TaskLedger();
  private final WorkerTasks tasks =
      new WorkerTasks(
          "w1",
          new JobSize(4, 4_096, 0),
          () -> java.time.Instant.ofEpochMilli(nowMillis),
          ledger,
          kind -> new TaskBehaviour(5_000, 1, kind.equals("hungry") ? 2_000 : 10, ""),
          0);

  private TaskState start(String kind, long readingMillis, String checkpoint) {
    StartRequest request =
        new StartRequest(
            1,
            readingMillis,
            LEASE_MILLIS,
            3,
            "nightly",
            kind,
            new JobSize(4, 1_000, 0),
            checkpoint);
    var report = tasks.start("job", 1, request);
    return report == null ? null : report.state();
  }

  private TaskState state() {
    return tasks.report().tasks().get(0).state();
  }

  /** Guards against tasks that outlive their lease, or a lease that counts from the renewal. */
  @Test
  void leaseCountsFromTheReading() {
    assertThat(start("plain", nowMillis, "")).isEqualTo(TaskState.RUNNING);
    long readingMillis = nowMillis;
    nowMillis += 900;
    var refs = List.of(new WorkerRenewed.Ref("job", 1));
    tasks.renew(new RenewRequest(1, readingMillis + 100, LEASE_MILLIS, refs));
    nowMillis += 199;
    assertThat(state()).isEqualTo(TaskState.RUNNING);
    nowMillis++;
    assertThat(state()).isEqualTo(TaskState.EXPIRED);
    assertThat(ledger.runs("job").get(0).endMillis()).isEqualTo(readingMillis + 1_100);
  }

  /** Guards against late starts, second runs and starts after a stop or in another boot. */
  @Test
  void startsThatMustNotRunAreRefused() {
    assertThat(start("plain", nowMillis - LEASE_MILLIS, "")).isNull();
    tasks.change("job", 1, "stop", new TaskRequest(1, 100));
    assertThat(start("plain", nowMillis, "")).isEqualTo(TaskState.STOPPED);
    tasks.reboot();
    assertThat(start("plain", nowMillis, "")).isNull();
    assertThat(ledger.starts("job")).isZero();
  }

  /** Guards against a repeated start that runs twice, and against lost progress. */
  @Test
  void repeatedStartRunsOnceAndResumesFromTheCheckpoint() {
    start("plain", nowMillis, "job@4500");
    start("plain", nowMillis, "job@4500");
    nowMillis += 500;
    assertThat(state()).isEqualTo(TaskState.FINISHED);
    assertThat(ledger.starts("job")).isEqualTo(1);
    assertThat(ledger.overlapping()).isEmpty();
    assertThat(ledger.succeededTwice()).isEmpty();
  }

  /** Guards against a task that uses more memory than was reserved. */
  @Test
  void taskWithTooLittleMemoryIsKilled() {
    start("hungry", nowMillis, "job@2000");
    nowMillis += 500;
    assertThat(state()).isEqualTo(TaskState.OUT_OF_MEMORY);
  }
}
