package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What an owner concludes from leases that another owner may have extended since. */
class SoleOwnerTest {
  private final SchedulerFixture fleet = new SchedulerFixture();

  private List<Order> decide(long soleOwnerMillis) {
    return fleet.scheduler.decide(fleet.now, fleet.now, soleOwnerMillis, Integer.MAX_VALUE);
  }

  /**
   * Guards against a task that runs twice: an owner that can't renew takes the lease of a worker
   * that it does not reach for expired, while the next owner has reached the worker and extended
   * the lease.
   */
  @Test
  void leaseThatAnotherOwnerMayHaveExtendedIsNotOver() {
    WorkerFacts worker = fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.addWorker("w2");
    fleet.report();
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    long soleOwnerMillis = fleet.now + 1_800;
    fleet.now += 7_000;

    assertThat(decide(soleOwnerMillis)).isEmpty();
    assertThat(decide(fleet.now)).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /**
   * Guards against a task that runs twice after two changes of the owner: a worker that has not
   * reported to this owner may run what it got from a later one after the leases of earlier owners.
   */
  @Test
  void silentWorkerIsNotClearedByLeasesThatAnotherOwnerMayHaveExtended() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.takeOver();
    fleet.report("w1");
    fleet.now += 14_700;

    assertThat(decide(fleet.now - 6_000)).isEmpty();
    assertThat(decide(fleet.now)).hasSize(1);
  }
}
