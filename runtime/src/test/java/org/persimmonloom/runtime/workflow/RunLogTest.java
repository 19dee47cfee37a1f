package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.EndCause;
import org.persimmonloom.core.scheduling.EndedTask;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.ReleasedRun;
import org.persimmonloom.core.scheduling.RunRelease;
import org.persimmonloom.core.scheduling.RunningTask;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/** Tests that the log tells why a task ran again, which an incident could not tell (issue 36). */
class RunLogTest {
  private static final TaskId TASK = new TaskId("f1", 0, 1, 2);
  private static final WorkerFacts FIRST = worker("w1");
  private static final WorkerFacts SECOND = worker("w2");

  private final WorkflowMetrics metrics = new WorkflowMetrics();
  private final RunLog log = new RunLog(7, new OwnerAges(() -> 350, () -> 40, metrics), metrics);

  private static WorkerFacts worker(String id) {
    return new WorkerFacts(id, "10.0.0.1:80", "s", "a", false, Resources.NONE, Set.of(), 1_000);
  }

  private static Order.Start start(WorkerFacts worker, int run, String checkpoint) {
    return new Order.Start(worker, TASK, run, "payload", 6_000, checkpoint, "");
  }

  @Test
  void startNamesWhatReleasedTheRunBefore() {
    ReleasedRun released =
        new ReleasedRun(TASK, 1, "w1", RunRelease.LEASE_EXPIRED, 1_000, 900, 1_020);
    try (LogLines lines = new LogLines("event=run")) {
      log.runOrdered(start(FIRST, 1, ""), 12, Optional.empty());
      log.logOrdered();
      log.runReleased(released);
      log.runOrdered(start(SECOND, 2, "saved"), 12, Optional.of(released));
      log.logOrdered();
      assertThat(lines.rest())
          .containsExactly(
              "event=runs_ordered fence=7 workflows_age_ms=40 renewal_age_ms=350"
                  + " runs=[f1.0.1.2#1 on w1 submitted 12 spec ea9649ea checkpoint -]",
              "event=run_released task=f1.0.1.2 run=1 worker=w1 fence=7 proof=LEASE_EXPIRED"
                  + " proof_age_ms=20 reported_ms=120 renewal_age_ms=350",
              "event=runs_ordered fence=7 workflows_age_ms=40 renewal_age_ms=350"
                  + " runs=[f1.0.1.2#2 on w2 after #1 LEASE_EXPIRED submitted 12 spec ea9649ea"
                  + " checkpoint 131d4fb7]");
    }
    assertThat(metrics.releasedRuns.labelValues("LEASE_EXPIRED").get()).isEqualTo(1);
  }

  @Test
  void reportThatContradictsAReleaseIsWrittenOnce() {
    EndedTask end = new EndedTask(1, TASK, 1, EndCause.DONE, "");
    RunningTask running = new RunningTask(TASK, 1, "", 100, 0);
    log.runReleased(
        new ReleasedRun(TASK, 1, "w1", RunRelease.HOST_WITHOUT_WORKER, 1_000, 900, 1_020));
    log.runReleased(new ReleasedRun(TASK, 2, "w1", RunRelease.END_REPORTED, 1_000, 900, 1_020));
    try (LogLines lines = new LogLines("event=release_contradicted")) {
      log.reportRead("w1", new WorkerReport(5_000, 1_000, List.of(running), List.of()), 1_520);
      log.reportRead("w1", new WorkerReport(5_000, 1_000, List.of(), List.of(end)), 1_620);
      assertThat(lines.rest())
          .containsExactly(
              "event=release_contradicted task=f1.0.1.2 run=1 worker=w1 fence=7"
                  + " proof=HOST_WITHOUT_WORKER shown=RUNNING released_ms=500");
    }
    assertThat(metrics.contradictedReleases.labelValues("HOST_WITHOUT_WORKER").get()).isEqualTo(1);
  }

  @Test
  void endIsWrittenWhenItIsReadAndWhenItIsAcknowledged() {
    EndedTask end = new EndedTask(1, TASK, 1, EndCause.DONE, "");
    WorkerReport report = new WorkerReport(5_000, 1_000, List.of(), List.of(end));
    WorkerReport ofNextProcess = new WorkerReport(100, 2_000, List.of(), List.of(end));
    try (LogLines lines = new LogLines("event=")) {
      log.reportRead("w1", report, 1_000);
      log.reportRead("w1", report, 1_000);
      log.holdSent(new HoldOrder(FIRST, 0, 0, 0));
      log.holdSent(new HoldOrder(FIRST, 0, 1, 0));
      log.holdSent(new HoldOrder(FIRST, 0, 1, 0));
      log.reportRead("w1", ofNextProcess, 1_000);
      assertThat(lines.rest())
          .containsExactly(
              "event=runs_ended worker=w1 fence=7 ends=[1:f1.0.1.2#1=DONE]",
              "event=ends_acknowledged worker=w1 fence=7 upto=1",
              "event=runs_ended worker=w1 fence=7 ends=[1:f1.0.1.2#1=DONE]");
    }
  }
}
