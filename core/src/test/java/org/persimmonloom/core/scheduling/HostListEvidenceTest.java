package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;

/** Which host lists prove that a worker has ended. */
class HostListEvidenceTest {
  private final SchedulerFixture fleet = new SchedulerFixture();

  private static MachineFacts machine(String id, MachineFacts.State state, String worker) {
    return machine(id, SchedulerFixture.POLICY.service(), state, worker);
  }

  private static MachineFacts machine(
      String id, String pool, MachineFacts.State state, String worker) {
    return new MachineFacts(
        id, pool, state, Set.of("kind-a"), new Resources(4_000, 8_000, 0), worker);
  }

  private void listMachines(long sentMillis, MachineFacts... machines) {
    fleet.scheduler.machines().machinesListed(List.of(machines), sentMillis, fleet.now);
  }

  /** Starts a task on w1, names it on m1 and adds w2; returns the start. */
  private Order startTask() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    Order start = fleet.decideAndExecute().get(0);
    fleet.addWorker("w2");
    fleet.report();
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w1"),
        machine("m2", MachineFacts.State.UP, "w2"));
    return start;
  }

  private void submitBeforeTakeover() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.takeOver();
    fleet.report("w2");
  }

  private void loseWorker(String id) {
    fleet.scheduler.holdFailed(fleet.workers.get(id), CallResult.UNKNOWN, fleet.now);
  }

  /**
   * Guards against a task that runs twice: the host list names no worker for a host that is up, as
   * the worker's registration has lapsed, and the silent worker runs on under its lease.
   */
  @Test
  void silentWorkerBlocksEarlierWorkflowsWhileAHostOfItsPoolNamesNoWorker() {
    submitBeforeTakeover();
    loseWorker("w2");
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w1"),
        machine("m2", MachineFacts.State.UP, ""));

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /** Guards against earlier workflows that wait because switched-off hosts have no workers. */
  @Test
  void hostsOfOtherPoolsWithoutWorkersBlockNoWorkflow() {
    submitBeforeTakeover();
    loseWorker("w2");
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w1"),
        machine("m2", "spare", MachineFacts.State.UP, ""));

    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /** Guards against a task that runs twice: a wrong list ends the runs of a worker that answers. */
  @Test
  void listEndsNoRunsOfAWorkerThatAnswers() {
    startTask();
    fleet.now += 10;
    listMachines(fleet.now, machine("m1", MachineFacts.State.MOVING, ""));
    assertThat(fleet.decide()).isEmpty();
    assertThat(fleet.scheduler.takeLeaseHolders().records()).isEmpty();

    fleet.report();
    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against a task that runs twice: a list is older than the worker's last report. */
  @Test
  void listOlderThanTheLastReportEndsNoRuns() {
    startTask();
    long sentMillis = fleet.now;
    fleet.report();
    loseWorker("w1");
    listMachines(sentMillis, machine("m1", MachineFacts.State.UP, "w9"));

    assertThat(fleet.decide()).isEmpty();
  }

  /** Guards against tasks that wait for the end of a lease although two sources show the end. */
  @Test
  void listAndAFailedCallEndTheRunsAtOnce() {
    startTask();
    fleet.addUnrecordedWorker("w9");
    fleet.now += 10;
    listMachines(fleet.now, machine("m1", MachineFacts.State.UP, "w9"));
    loseWorker("w1");
    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against an ended worker that no later list ends, since its host has a new worker. */
  @Test
  void laterListEndsTheRunsThatAnOvertakenListDidNot() {
    startTask();
    long sentMillis = fleet.now;
    fleet.report();
    loseWorker("w1");
    fleet.addUnrecordedWorker("w9");
    MachineFacts replaced = machine("m1", MachineFacts.State.UP, "w9");
    listMachines(sentMillis, replaced);
    fleet.now += 10;
    listMachines(fleet.now, replaced);

    assertThat(fleet.decide()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against starts on a worker that is probably gone, and against its loss for good. */
  @Test
  void workerIsAvoidedUntilItReportsAgain() {
    startTask();
    fleet.workers.remove("w2");
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.now += 10;
    listMachines(fleet.now, machine("m1", MachineFacts.State.MOVING, ""));
    fleet.submit("f2", SchedulerFixture.step(1, 500, List.of()));
    assertThat(fleet.decide()).isEmpty();

    fleet.now += 1_000;
    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now)).hasSize(1);
    fleet.report();
    assertThat(fleet.decide()).hasSize(1);
  }

  /** Guards against a worker that is taken for gone by a host list older than its new process. */
  @Test
  void listOlderThanAWorkersNewProcessDoesNotEndIt() {
    submitBeforeTakeover();
    listMachines(fleet.now, machine("m1", MachineFacts.State.UP, "w1"));
    fleet.now += 10;
    WorkerFacts first = fleet.workers.get("w2");
    WorkerFacts second = SchedulerFixture.process(first, first.address(), first.bornMillis() + 500);
    fleet.workers.put("w2", second);
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    loseWorker("w2");

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a task that runs twice: the pages of a host list were read at different times,
   * so that it lacks the host of a silent worker.
   */
  @Test
  void silentWorkerBlocksEarlierWorkflowsWhileAHostIsMissing() {
    submitBeforeTakeover();
    MachineFacts first = machine("m1", MachineFacts.State.UP, "w1");
    listMachines(fleet.now, first, machine("m2", MachineFacts.State.UP, "w2"));
    loseWorker("w2");
    fleet.now += 10;
    listMachines(fleet.now, first);
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.addUnrecordedWorker("w3");
    fleet.now += 10;
    listMachines(fleet.now, first, machine("m2", MachineFacts.State.UP, "w3"));
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /**
   * Guards against a task that runs twice: a host that is listed twice shows that pages have
   * shifted.
   */
  @Test
  void silentWorkerBlocksEarlierWorkflowsWhileAHostIsListedTwice() {
    submitBeforeTakeover();
    loseWorker("w2");
    MachineFacts first = machine("m1", MachineFacts.State.UP, "w1");
    listMachines(fleet.now, first, first);

    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a task that runs twice: an outdated list names the worker that its host had
   * before, and the present one does not answer a call.
   */
  @Test
  void outdatedListWithTheEarlierWorkerEndsNoRuns() {
    WorkerFacts earlier = fleet.addWorker("w0");
    fleet.workers.put("w0", SchedulerFixture.process(earlier, earlier.address(), 500));
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.workers.remove("w0");
    startTask();
    fleet.now += 10;
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w0"),
        machine("m2", MachineFacts.State.UP, "w2"));
    loseWorker("w1");

    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.addUnrecordedWorker("w3");
    fleet.now += 10;
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w3"),
        machine("m2", MachineFacts.State.UP, "w2"));

    assertThat(fleet.decideAndExecute()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /**
   * Guards against a task that runs twice: an outdated list names a worker that this owner has
   * never known, the earlier one of a host whose present worker does not answer a call.
   */
  @Test
  void unknownWorkerOfAHostEndsNoRunsWhileThePresentOneIsPublished() {
    startTask();
    fleet.now += 10;
    MachineFacts outdated = machine("m1", MachineFacts.State.UP, "w9");
    listMachines(fleet.now, outdated, machine("m2", MachineFacts.State.UP, "w2"));
    loseWorker("w1");
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.workers.remove("w1");
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.now += 10;
    listMachines(fleet.now, outdated, machine("m2", MachineFacts.State.UP, "w2"));
    assertThat(fleet.decideAndExecute()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against the same for a silent worker of the previous term, which no host names. */
  @Test
  void unknownWorkerOfAHostHidesASilentWorkerWhileThatIsPublished() {
    submitBeforeTakeover();
    loseWorker("w2");
    MachineFacts first = machine("m1", MachineFacts.State.UP, "w1");
    MachineFacts outdated = machine("m2", MachineFacts.State.UP, "w9");
    listMachines(fleet.now, first, outdated);
    assertThat(fleet.decideAndExecute()).isEmpty();

    fleet.workers.remove("w2");
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.now += 10;
    listMachines(fleet.now, first, outdated);
    assertThat(fleet.decideAndExecute()).hasSize(1);
  }

  /**
   * Guards against a task that runs twice: after a takeover, an outdated list names the worker that
   * the host of a silent worker had before.
   */
  @Test
  void outdatedListWithTheEarlierWorkerDoesNotEndASilentWorkerOfThePreviousTerm() {
    submitBeforeTakeover();
    WorkerFacts second = fleet.workers.get("w2");
    WorkerFacts earlier = fleet.addWorker("w0");
    fleet.workers.put("w0", SchedulerFixture.process(earlier, "10.0.0.9:80", 500));
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    fleet.workers.remove("w0");
    fleet.scheduler.workersListed(fleet.workers.values(), fleet.now);
    assertThat(second.bornMillis()).isGreaterThan(500);
    fleet.report("w2");
    loseWorker("w2");
    fleet.now += 10;
    listMachines(
        fleet.now,
        machine("m1", MachineFacts.State.UP, "w1"),
        machine("m2", MachineFacts.State.UP, "w0"));

    assertThat(fleet.decideAndExecute()).isEmpty();
  }
}
