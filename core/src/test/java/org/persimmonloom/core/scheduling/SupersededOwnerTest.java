package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TaskId;

/**
 * Conclusions of an owner that can't renew its ownership, while another one has taken over. Each
 * case guards against a task that runs twice: the newer owner keeps a run alive, or takes note of
 * its end, on a worker that the first owner does not reach.
 */
class SupersededOwnerTest {
  private static final int UNLIMITED = Integer.MAX_VALUE;

  private final SchedulerFixture fleet = new SchedulerFixture();
  private WorkerFacts worker;
  private WorkerFacts other;
  private Order first;
  private long ownedUntilMillis;
  private FleetScheduler firstOwner;
  private FleetScheduler secondOwner;

  /** Starts a task, and then the term of a second owner that only polls the task's worker. */
  private void supersede() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    first = fleet.decideAndExecute().get(0);
    fleet.recordProgress();
    worker = fleet.workers.get(first.worker().id());
    other = fleet.workers.get(worker.id().equals("w1") ? "w2" : "w1");
    secondOwnerClaims();
  }

  private void secondOwnerClaims() {
    ownedUntilMillis = fleet.now;
    firstOwner = fleet.scheduler;
    fleet.now += 2_000;
    fleet.takeOver();
    secondOwner = fleet.scheduler;
    fleet.report(other.id());
  }

  /** Reports the other worker to the first owner, and returns that owner's orders. */
  private List<Order> decideAsFirstOwner() {
    fleet.scheduler = firstOwner;
    fleet.report(worker.id());
    return firstOwner.decide(fleet.now, fleet.now, ownedUntilMillis, UNLIMITED);
  }

  private void assertStartsOnceOwnershipIsRenewed() {
    ownedUntilMillis = fleet.now;
    assertThat(decideAsFirstOwner()).singleElement().isInstanceOf(Order.Start.class);
  }

  /** The run ends {@code done} under the second owner's lease; its end is noted after the start. */
  @Test
  void leaseThatANewerOwnerMayHaveExtendedDoesNotExpire() {
    supersede();
    firstOwner.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    fleet.now += 3_000;
    fleet.report(other.id());
    fleet.endRun(worker.id(), first.task(), first.run(), EndCause.DONE);
    fleet.now += 1_500;
    List<Order> starts = decideAsFirstOwner();

    fleet.scheduler = secondOwner;
    fleet.report(other.id());
    fleet.recordProgress();
    assertThat(secondOwner.dueHolds(Set.of(), fleet.now + 1_000))
        .filteredOn(hold -> hold.worker().id().equals(worker.id()))
        .singleElement()
        .extracting(HoldOrder::acknowledgedEnd)
        .isEqualTo(1L);
    assertThat(starts).isEmpty();
  }

  /** Guards also against tasks that wait on after an outage in which nobody could claim. */
  @Test
  void leaseExpiresOnceTheOwnershipIsRenewed() {
    supersede();
    firstOwner.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    fleet.now += 4_500;
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  /** The second owner has taken note of the end, and the worker's process has ended then. */
  @Test
  void addressOfAWorkerThatANewerOwnerMayHavePolledReleasesNothing() {
    supersede();
    firstOwner.holdFailed(worker, CallResult.GONE, fleet.now);
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  /** As before, with the platform's list of hosts. */
  @Test
  void hostListReleasesNothingThatANewerOwnerMayHaveSeen() {
    supersede();
    fleet.scheduler = firstOwner;
    listHost(MachineFacts.State.UP, worker.id());
    fleet.now += 10;
    listHost(MachineFacts.State.MOVING, "");
    firstOwner.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  private void listHost(MachineFacts.State state, String workerId) {
    MachineFacts host =
        new MachineFacts(
            "m1",
            SchedulerFixture.POLICY.service(),
            state,
            Set.of("kind-a"),
            worker.capacity(),
            workerId);
    firstOwner.machines().machinesListed(List.of(host), fleet.now, fleet.now);
  }

  /** Delivers the report of a new process of the worker, which has seen no fence. */
  private void reportNewProcess(Map<TaskId, Integer> running, boolean listsAllEnds) {
    List<RunningTask> present =
        running.entrySet().stream()
            .map(run -> new RunningTask(run.getKey(), run.getValue(), "", 100, 0))
            .toList();
    fleet.now += 10;
    WorkerReport report =
        new WorkerReport(50, SchedulerFixture.BORN_MILLIS + 500, present, List.of(), listsAllEnds);
    firstOwner.workerReported(worker, fleet.now - 1, report, fleet.now);
  }

  /** The second owner has polled the process that ran the task, but not the one after it. */
  @Test
  void newProcessReleasesNothingThatANewerOwnerMayHaveSeen() {
    supersede();
    reportNewProcess(Map.of(), true);
    assertThat(decideAsFirstOwner()).isEmpty();
    reportNewProcess(Map.of(), true);
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  /** As before, where the first report of the process does not list all ends. */
  @Test
  void laterReportOfANewProcessReleasesNothingThatANewerOwnerMayHaveSeen() {
    supersede();
    reportNewProcess(Map.of(), false);
    reportNewProcess(Map.of(), true);
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  @Test
  void leaseOfAnEarlierOwnerThatANewerOneMayHaveExtendedIsNotOver() {
    supersedeWithSilentWorker();
    fleet.now += fleet.settings.takeoverBlockMillis();
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  /** Starts a task, then the term of an owner that its worker does not answer, then another. */
  private void supersedeWithSilentWorker() {
    supersede();
    fleet.takeOver();
    secondOwnerClaims();
  }

  @Test
  void addressOfAnUnreportedWorkerUnblocksNothingThatANewerOwnerMayHaveSeen() {
    supersedeWithSilentWorker();
    firstOwner.holdFailed(worker, CallResult.GONE, fleet.now);
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  @Test
  void newProcessUnblocksNothingThatANewerOwnerMayHaveSeen() {
    supersedeWithSilentWorker();
    reportNewProcess(Map.of(), true);
    assertThat(decideAsFirstOwner()).isEmpty();
    assertStartsOnceOwnershipIsRenewed();
  }

  /**
   * The second owner has polled both workers, so that it may start the task elsewhere; then one of
   * them is replaced by a process that has seen no fence.
   */
  @Test
  void newProcessThatANewerOwnerHasNotPolledGetsNoStart() {
    fleet.addWorker("w1");
    fleet.report();
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    worker = fleet.workers.get("w1");
    other = worker;
    secondOwnerClaims();
    reportNewProcess(Map.of(), true);
    assertThat(firstOwner.decide(fleet.now, fleet.now, ownedUntilMillis, UNLIMITED)).isEmpty();
    assertThat(firstOwner.decide(fleet.now, fleet.now, fleet.now, UNLIMITED)).hasSize(1);
  }
}
