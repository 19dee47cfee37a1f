package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.QueuePolicy;

/**
 * Replays a backlog that appears at once, such as that of a new owner in a burst: 1,432 tasks
 * waited, and their starts were ordered faster than they could be sent (pos-loom-grown scale-1 seed
 * 876304582712).
 */
class StartLimitTest {
  private static final int TASKS = 40;

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void addWorkers() {
    for (int worker = 0; worker < TASKS; worker++) {
      fleet.addWorker("w" + worker);
    }
    fleet.report();
  }

  private List<Order> decide(int maxStarts) {
    return fleet.scheduler.decide(fleet.now, fleet.now, maxStarts);
  }

  /** Guards against starts that hold the room of workers while they wait to be sent. */
  @Test
  void tasksBeyondTheLimitOfStartsHoldNoRoom() {
    fleet.submit("backlog", SchedulerFixture.step(TASKS, 4_000, List.of()));
    assertThat(decide(8)).hasSize(8);
    assertThat(fleet.scheduler.outline(fleet.now)).contains("runs:8,waiting:" + (TASKS - 8));
    assertThat(decide(0)).isEmpty();
    assertThat(decide(TASKS)).hasSize(TASKS - 8);
  }

  /** Guards against an urgent task that waits behind the starts of a backlog. */
  @Test
  void urgentTaskGoesBeforeTheRestOfTheBacklog() {
    fleet.submit(
        "backlog",
        new QueuePolicy("slow", "laundry", 1, 3, 1.5, 600, 0),
        SchedulerFixture.step(TASKS, 4_000, List.of()));
    decide(8);
    fleet.submit("urgent", SchedulerFixture.step(1, 4_000, List.of()));
    assertThat(decide(1))
        .singleElement()
        .extracting(order -> order.task().workflow())
        .isEqualTo("urgent");
  }

  /** Guards against a step that looks as if no worker had room, because the limit was reached. */
  @Test
  void nothingStaysWaitingOnceTheLimitIsGone() {
    fleet.submit("first", SchedulerFixture.step(10, 1_000, List.of()));
    fleet.submit("second", SchedulerFixture.step(10, 1_000, List.of()));
    decide(5);
    decide(5);
    assertThat(decide(Integer.MAX_VALUE)).hasSize(10);
  }
}
