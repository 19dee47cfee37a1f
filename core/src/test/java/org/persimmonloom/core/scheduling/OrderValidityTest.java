package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TaskId;

/** Validity of orders that are queued for their worker after they were decided. */
class OrderValidityTest {
  private static final TaskId TASK = new TaskId("f1", 0, 0, 0);

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void submit() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
  }

  private boolean isStillValid(Order order) {
    return fleet.scheduler.isStillValid(order, fleet.now);
  }

  /**
   * Guards against a task that runs twice with a slow owner: the end of its previous run is
   * reported while the next start is queued.
   */
  @Test
  void startOfATaskThatIsDoneMeanwhileIsWithdrawn() {
    fleet.decideAndExecute();
    fleet.endRun("w1", TASK, 1, EndCause.DONE);
    fleet.scheduler.holdFailed(fleet.workers.get("w1"), CallResult.UNKNOWN, fleet.now);
    fleet.addWorker("w2");
    fleet.report("w1");
    fleet.now += 6_500;
    Order second = fleet.decide().get(0);
    assertThat(second.worker().id()).isEqualTo("w2");
    assertThat(isStillValid(second)).isTrue();

    fleet.report();
    assertThat(isStillValid(second)).isFalse();
    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a start that arrives after its lease expired, while its task counts as running.
   */
  @Test
  void startQueuedPastItsLeaseIsReplacedByANewRun() {
    Order first = fleet.decide().get(0);
    fleet.now += fleet.settings.maxLeaseMillis();
    assertThat(isStillValid(first)).isFalse();
    fleet.report();
    assertThat(fleet.decideAndExecute()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /**
   * Guards against starts that are sent to a lost worker one after the other, while they could run
   * elsewhere: their tasks would wait until the worker's lease is over.
   */
  @Test
  void startQueuedForAWorkerThatFallsSilentIsPlacedElsewhere() {
    Order first = fleet.decide().get(0);
    fleet.scheduler.holdFailed(first.worker(), CallResult.UNKNOWN, fleet.now);
    assertThat(isStillValid(first)).isFalse();
    fleet.addWorker("w2");
    fleet.report("w1");
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.worker().id())
        .isEqualTo("w2");
  }

  /** Guards against dropped stop orders; an unneeded run ends only when its stop is executed. */
  @Test
  void stopIsValidAsLongAsItsRunMayExist() {
    fleet.decideAndExecute();
    WorkerFacts worker = fleet.workers.get("w1");
    assertThat(isStillValid(new Order.Stop(worker, TASK, 1))).isTrue();
  }

  /**
   * Guards against stops that stay queued for a lost worker after its leases are over, and hold up
   * the orders of a later process.
   */
  @Test
  void stopOfARunThatIsOverIsObsolete() {
    fleet.decideAndExecute();
    WorkerFacts worker = fleet.workers.get("w1");
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    fleet.now += 6_500;
    fleet.decide();
    assertThat(isStillValid(new Order.Stop(worker, TASK, 1))).isFalse();
  }
}
