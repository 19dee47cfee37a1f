package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TaskId;

/** Orders that wait behind others for their worker after they were decided. */
class OrderValidityTest {
  private static final TaskId TASK = new TaskId("f1", 0, 0, 0);

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void submit() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
  }

  private boolean isStillDue(Order order) {
    return fleet.scheduler.isStillValid(order, fleet.now);
  }

  /**
   * Guards against a task that runs again although its end has become known while the start waited
   * (pos-loom-grown scale-1, trial with a slow owner: TWICE).
   */
  @Test
  void startOfATaskThatIsDoneByNowIsTakenBack() {
    fleet.decideAndExecute();
    fleet.endRun("w1", TASK, 1, EndCause.DONE);
    fleet.scheduler.holdFailed(fleet.workers.get("w1"), CallResult.UNKNOWN);
    fleet.addWorker("w2");
    fleet.report("w1");
    fleet.now += 6_500;
    Order second = fleet.decide().get(0);
    assertThat(second.worker().id()).isEqualTo("w2");
    assertThat(isStillDue(second)).isTrue();

    fleet.report();
    assertThat(isStillDue(second)).isFalse();
    assertThat(fleet.decideAndExecute()).isEmpty();
  }

  /**
   * Guards against a start whose lease is over when it arrives, while its task counts as running.
   */
  @Test
  void startThatHasWaitedForItsLeaseIsDecidedAnew() {
    Order first = fleet.decide().get(0);
    fleet.now += fleet.settings.maxLeaseMillis();
    assertThat(isStillDue(first)).isFalse();
    fleet.report();
    assertThat(fleet.decideAndExecute()).singleElement().extracting(Order::run).isEqualTo(2);
  }

  /** Guards against stops that are dropped, since a run ends only by a stop that is carried out. */
  @Test
  void stopIsAlwaysDue() {
    fleet.decideAndExecute();
    WorkerFacts worker = fleet.workers.get("w1");
    assertThat(isStillDue(new Order.Stop(worker, TASK, 1))).isTrue();
  }
}
