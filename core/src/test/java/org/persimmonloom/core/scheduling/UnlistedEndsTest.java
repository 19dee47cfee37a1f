package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TaskId;

/** Workers with more ends than one report lists. */
class UnlistedEndsTest {
  private final SchedulerFixture fleet = new SchedulerFixture();
  private final WorkerFacts worker = fleet.addWorker("w1");

  /** Starts the only task of a workflow and ends it as done; returns its end. */
  private EndedTask endOfARun() {
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    Order start = fleet.decideAndExecute().get(0);
    fleet.report();
    fleet.recordProgress();
    fleet.endRun(worker.id(), start.task(), start.run(), EndCause.DONE);
    return fleet.ended.get(worker.id()).get(0);
  }

  private void reportEnds(boolean listsAllEnds, EndedTask... ends) {
    fleet.now += 10;
    fleet.scheduler.workerReported(
        worker,
        fleet.now - 1,
        new WorkerReport(
            fleet.now, SchedulerFixture.BORN_MILLIS, List.of(), List.of(ends), listsAllEnds),
        fleet.now);
  }

  /** Returns an end of a workflow that has ended long ago. */
  private static EndedTask olderEnd(long number) {
    return new EndedTask(number, new TaskId("f0", 0, 0, 0), 1, EndCause.DONE, "");
  }

  private static EndedTask numbered(long number, EndedTask end) {
    return new EndedTask(number, end.task(), end.run(), end.cause(), end.checkpoint());
  }

  private List<HoldOrder> dueHolds() {
    return fleet.scheduler.dueHolds(Set.of(), fleet.now);
  }

  /**
   * Guards against a task that starts again because its end is beyond those that a report lists.
   */
  @Test
  void runWhoseEndIsNotListedYetDoesNotCountAsOver() {
    EndedTask end = endOfARun();
    reportEnds(false, olderEnd(1));
    assertThat(fleet.decide()).isEmpty();

    reportEnds(true, olderEnd(1), numbered(2, end));
    assertThat(fleet.decide()).isEmpty();
    assertThat(fleet.recordProgress().records()).isNotEmpty();
  }

  /** Guards against a run that stays for good because its worker never lists an end of it. */
  @Test
  void runWithoutAnEndIsOverOnceAllEndsAreListed() {
    endOfARun();
    reportEnds(false, olderEnd(1));
    reportEnds(true, olderEnd(1));
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against a stop of another task that relies on a run which is over. */
  @Test
  void runWhoseEndIsNotListedYetIsNotAtWork() {
    WorkerTable table = new WorkerTable(6_000, fleet.now, new OccurrenceTable());
    table.workersListed(List.of(worker), fleet.now);
    RunningTask atWork = new RunningTask(new TaskId("f1", 0, 0, 0), 1, "", 100, 0);
    long born = SchedulerFixture.BORN_MILLIS;
    table.workerReported(worker, 1, new WorkerReport(1, born, List.of(atWork), List.of(), true), 2);
    TaskRun run = table.find(worker.id()).runs.get(atWork.task());
    assertThat(run.isAtFullSpeed()).isTrue();

    table.workerReported(
        worker, 11, new WorkerReport(11, born, List.of(), List.of(olderEnd(1)), false), 12);
    assertThat(table.find(worker.id()).runs).containsValue(run);
    assertThat(run.isAtFullSpeed()).isFalse();
  }

  /** Guards against stops of a run that is over, should its workflow be cancelled meanwhile. */
  @Test
  void runWhoseEndIsNotListedYetIsNotStopped() {
    endOfARun();
    reportEnds(false, olderEnd(1));
    fleet.apply(fleet.records.cancellation("f1"));
    assertThat(fleet.decide()).isEmpty();
  }

  /**
   * Guards against a task that starts again after a takeover because its end is beyond those that
   * the worker's first report lists, also after the last lease of the earlier owner is over.
   */
  @Test
  void workerBlocksEarlierWorkflowsUntilItHasListedAllEnds() {
    EndedTask end = endOfARun();
    fleet.takeOver();
    reportEnds(false, olderEnd(1));
    assertThat(fleet.decide()).isEmpty();
    fleet.now += fleet.settings.takeoverBlockMillis();
    reportEnds(false, olderEnd(1));
    assertThat(fleet.decide()).isEmpty();

    reportEnds(true, numbered(2, end));
    assertThat(fleet.decide()).isEmpty();
    fleet.submit("f2", SchedulerFixture.step(1, 500, List.of()));
    assertThat(fleet.decide())
        .singleElement()
        .extracting(order -> order.task().workflow())
        .isEqualTo("f2");
  }

  /** Guards against earlier workflows that wait for good for the ends of a worker that is lost. */
  @Test
  void workerWithUnlistedEndsBlocksNoWorkflowOnceItsLeaseIsOver() {
    endOfARun();
    fleet.addWorker("w2");
    fleet.takeOver();
    fleet.report("w1");
    reportEnds(false, olderEnd(1));
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    fleet.now += 5_900;
    fleet.report("w1");
    assertThat(fleet.decide()).isEmpty();
    fleet.now += fleet.settings.takeoverBlockMillis() - 5_900;
    fleet.report("w1");
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against ends that are read late, or never, because their worker seems idle. */
  @Test
  void remainingEndsAreReadAsSoonAsTheListedOnesAreRecorded() {
    endOfARun();
    fleet.takeOver();
    reportEnds(false, olderEnd(1));
    fleet.now += 10;
    assertThat(dueHolds()).isEmpty();
    fleet.recordProgress();
    fleet.now += 25;
    assertThat(dueHolds())
        .singleElement()
        .satisfies(
            hold -> {
              assertThat(hold.acknowledgedEnd()).isEqualTo(1);
              assertThat(hold.waitMillis()).isZero();
            });
    reportEnds(false, olderEnd(2));
    fleet.recordProgress();
    fleet.now += 25;
    assertThat(dueHolds()).hasSize(1);
    reportEnds(true);
    fleet.now += 1_000;
    assertThat(dueHolds()).isEmpty();
  }
}
