package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TaskId;

/** Conclusions from a new process of a worker, and from another process at its address. */
class WorkerProcessTest {
  private final SchedulerFixture fleet = new SchedulerFixture();
  private final WorkerFacts worker = fleet.addWorker("w1");

  /** Lets a run end as number 1 of the worker's ends, and records that. */
  private void recordAnEnd() {
    fleet.submit("f0", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    Order first = fleet.decideAndExecute().get(0);
    fleet.endRun("w1", first.task(), first.run(), EndCause.DONE);
    fleet.report();
    fleet.recordProgress();
  }

  private Order orderStart() {
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    return fleet.decide().get(0);
  }

  private void report(
      WorkerFacts polled, long sentMillis, long bornMillis, Map<TaskId, Integer> running) {
    report(polled, sentMillis, bornMillis, running, List.of());
  }

  private void report(
      WorkerFacts polled,
      long sentMillis,
      long bornMillis,
      Map<TaskId, Integer> running,
      List<EndedTask> ended) {
    fleet.now += 10;
    List<RunningTask> present =
        running.entrySet().stream()
            .map(run -> new RunningTask(run.getKey(), run.getValue(), "", 100, 0))
            .toList();
    WorkerReport report = new WorkerReport(fleet.now, bornMillis, present, ended);
    fleet.scheduler.workerReported(polled, sentMillis, report, fleet.now);
  }

  private void listOnly(WorkerFacts facts) {
    fleet.scheduler.workersListed(List.of(facts), fleet.now);
    fleet.recordLeaseHolders();
  }

  /** Guards against a task that runs twice: the new process has begun its unanswered start. */
  @Test
  void unansweredStartIsKeptWhenANewProcessReports() {
    Order start = orderStart();
    report(worker, fleet.now, worker.bornMillis() + 500, Map.of());
    assertThat(fleet.decide()).isEmpty();

    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    assertThat(fleet.decide()).isEmpty();
    report(worker, fleet.now, worker.bornMillis() + 500, Map.of());
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against a task that runs twice: its start was answered after the report's request. */
  @Test
  void startAnsweredAfterTheRequestIsKeptWhenANewProcessReports() {
    Order start = orderStart();
    long sentMillis = fleet.now;
    fleet.now += 10;
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    report(worker, sentMillis, worker.bornMillis() + 500, Map.of());

    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against a lease of the new process that counts as over before it was granted. */
  @Test
  void runOfANewProcessKeepsItsLease() {
    Order start = orderStart();
    report(worker, fleet.now, worker.bornMillis() + 500, Map.of(start.task(), start.run()));
    fleet.addWorker("w2");
    fleet.report("w1");
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    fleet.now += 5_900;
    assertThat(fleet.decide()).isEmpty();

    fleet.now += 500;
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against a task that runs twice: a new process is listed before it has reported. */
  @Test
  void runIsKeptUntilTheListedNewProcessReports() {
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    WorkerFacts second =
        SchedulerFixture.process(worker, worker.address(), worker.bornMillis() + 500);
    listOnly(second);
    fleet.addWorker("w2");
    fleet.scheduler.workersListed(List.of(second, fleet.workers.get("w2")), fleet.now);
    fleet.recordLeaseHolders();
    fleet.report("w1");
    assertThat(fleet.decide()).isEmpty();
    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now))
        .extracting(HoldOrder::worker)
        .contains(second);

    report(second, fleet.now, second.bornMillis(), Map.of());
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against a task that never restarts: its worker's new process never answers. */
  @Test
  void runIsReleasedWhenTheLeaseOfAListedNewProcessIsOver() {
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    WorkerFacts second =
        SchedulerFixture.process(worker, worker.address(), worker.bornMillis() + 500);
    fleet.addWorker("w2");
    fleet.now += 1_000;
    fleet.scheduler.workersListed(List.of(second, fleet.workers.get("w2")), fleet.now);
    fleet.recordLeaseHolders();
    fleet.scheduler.holdFailed(second, CallResult.UNKNOWN, fleet.now);
    fleet.now += 5_900;
    fleet.report("w1");
    assertThat(fleet.decide()).isEmpty();

    fleet.now += 500;
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /**
   * Guards against an end that is overlooked, and a task that runs twice: the clock of the worker's
   * host was set back before its process restarted, and the new process numbers its ends from 1.
   */
  @Test
  void endOfANewProcessIsReadAlthoughItsClockWasSetBack() {
    recordAnEnd();
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    fleet.now += 10;
    EndedTask done = new EndedTask(1, start.task(), start.run(), EndCause.DONE, "");
    report(worker, fleet.now - 1, worker.bornMillis() - 500, Map.of(), List.of(done));

    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against ends of a new process that are acknowledged by the numbers of an old one. */
  @Test
  void listedNewProcessIsSentNoAcknowledgementOfTheOldOne() {
    recordAnEnd();
    listOnly(SchedulerFixture.process(worker, worker.address(), worker.bornMillis() + 500));
    fleet.now += 1_000;

    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now))
        .singleElement()
        .extracting(HoldOrder::acknowledgedEnd)
        .isEqualTo(0L);
  }

  /** Guards against ends that are never acknowledged: an entry is older than the last report. */
  @Test
  void endsAreAcknowledgedAfterAnEntryOfAnEarlierProcess() {
    recordAnEnd();
    WorkerFacts earlier =
        SchedulerFixture.process(worker, worker.address(), worker.bornMillis() - 500);
    listOnly(earlier);
    report(earlier, fleet.now, worker.bornMillis(), Map.of(), fleet.ended.get("w1"));
    fleet.now += 1_000;

    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now))
        .singleElement()
        .extracting(HoldOrder::acknowledgedEnd)
        .isEqualTo(1L);
  }

  /**
   * Guards against a task that runs twice: an entry names an address at which the worker's process
   * has never answered, and another process answers there.
   */
  @Test
  void otherProcessAtAnUnconfirmedAddressEndsNoRuns() {
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    WorkerFacts relocated = SchedulerFixture.process(worker, "10.0.0.9:80", worker.bornMillis());
    fleet.addWorker("w2");
    fleet.scheduler.workersListed(List.of(relocated, fleet.workers.get("w2")), fleet.now);
    fleet.recordLeaseHolders();
    fleet.report("w1");
    fleet.scheduler.holdFailed(relocated, CallResult.GONE, fleet.now);
    assertThat(fleet.decide()).isEmpty();
    assertThat(fleet.scheduler.takeLeaseHolders().records()).isEmpty();

    fleet.scheduler.holdFailed(worker, CallResult.GONE, fleet.now);
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against a task that never restarts: its start was sent to an unconfirmed address. */
  @Test
  void startAnsweredByAnotherProcessIsReleased() {
    WorkerFacts relocated = SchedulerFixture.process(worker, "10.0.0.9:80", worker.bornMillis());
    listOnly(relocated);
    Order start = orderStart();
    assertThat(start.worker()).isEqualTo(relocated);
    fleet.scheduler.orderAnswered(start, CallResult.GONE, fleet.now);
    fleet.addWorker("w2");
    fleet.scheduler.workersListed(List.of(relocated, fleet.workers.get("w2")), fleet.now);
    fleet.recordLeaseHolders();
    fleet.report("w1");
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /**
   * Guards against a task that runs twice after a take-over: the record of its worker names an
   * address at which the worker has never been, and another process answers there.
   */
  @Test
  void recordKeepsTheConfirmedAddressOfAWorkerWithRuns() {
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    WorkerFacts relocated = SchedulerFixture.process(worker, "10.0.0.9:80", worker.bornMillis());
    fleet.addWorker("w2");
    fleet.workers.put("w1", relocated);
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.recordLeaseHolders();

    fleet.takeOver();
    fleet.report("w1");
    fleet.scheduler.holdFailed(relocated, CallResult.GONE, fleet.now);
    assertThat(fleet.decide()).isEmpty();
  }

  /**
   * Guards against a task that starts again after a take-over: its end was read, but neither
   * recorded nor acknowledged, when an entry named an address at which its worker has never been.
   */
  @Test
  void recordKeepsTheConfirmedAddressOfAWorkerWithUnrecordedEnds() {
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    fleet.endRun("w1", start.task(), start.run(), EndCause.DONE);
    fleet.report();
    WorkerFacts relocated = SchedulerFixture.process(worker, "10.0.0.9:80", worker.bornMillis());
    fleet.addWorker("w2");
    fleet.workers.put("w1", relocated);
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.recordLeaseHolders();

    fleet.takeOver();
    fleet.report("w1");
    fleet.scheduler.holdFailed(relocated, CallResult.GONE, fleet.now);
    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against a worker without orders: it has started again at another address. */
  @Test
  void workerWithRunsIsRecordedAtItsNewAddressOnceItReportsThere() {
    Order start = orderStart();
    fleet.scheduler.orderAnswered(start, CallResult.ACCEPTED, fleet.now);
    long bornMillis = worker.bornMillis() + 1;
    WorkerFacts restarted = SchedulerFixture.process(worker, "10.0.0.9:80", bornMillis);
    listOnly(restarted);
    report(restarted, fleet.now + 5, bornMillis, Map.of());
    fleet.recordLeaseHolders();
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Submits f1, then starts the term of a new owner to which both workers report. */
  private void takeOverWithTwoWorkers() {
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.takeOver();
    fleet.report();
  }

  private WorkerFacts listSecondProcess() {
    WorkerFacts second =
        SchedulerFixture.process(worker, worker.address(), worker.bornMillis() + 500);
    fleet.workers.put("w1", second);
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.recordLeaseHolders();
    return second;
  }

  /**
   * Guards against a task that runs twice: a worker starts again after its first report to a new
   * owner, and its new process, which has seen no fence, takes a start of the earlier owner.
   */
  @Test
  void newProcessBlocksEarlierWorkflowsUntilItReports() {
    takeOverWithTwoWorkers();
    WorkerFacts second = listSecondProcess();
    assertThat(fleet.decide()).isEmpty();

    TaskId task = new TaskId("f1", 0, 0, 0);
    report(second, fleet.now, second.bornMillis(), Map.of(task, 1));
    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against the same: the worker's earlier process was known to have terminated. */
  @Test
  void newProcessOfATerminatedWorkerBlocksEarlierWorkflows() {
    takeOverWithTwoWorkers();
    fleet.scheduler.holdFailed(worker, CallResult.GONE, fleet.now);
    listSecondProcess();
    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against earlier workflows that wait for a new process after all earlier leases. */
  @Test
  void newProcessBlocksNoWorkflowOnceEarlierLeasesAreOver() {
    takeOverWithTwoWorkers();
    fleet.now += fleet.settings.takeoverBlockMillis();
    fleet.report();
    listSecondProcess();
    assertThat(fleet.decide()).hasSize(1);
  }

  /**
   * Guards against a task that runs twice: a report of the previous process counts for a new one,
   * whose own report does not list all its ends.
   */
  @Test
  void reportOfThePreviousProcessShowsNoEndsOfTheNewOne() {
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.takeOver();
    fleet.report();
    fleet.now += 10;
    fleet.scheduler.workerReported(
        worker,
        fleet.now - 1,
        new WorkerReport(
            fleet.now, SchedulerFixture.BORN_MILLIS + 500, List.of(), List.of(), false),
        fleet.now);

    assertThat(fleet.decideAndExecute()).isEmpty();
  }
}
