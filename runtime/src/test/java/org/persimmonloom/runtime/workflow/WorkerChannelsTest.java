package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/** Calls to workers that end without a result. */
class WorkerChannelsTest {
  private static final WorkerFacts WORKER =
      new WorkerFacts(
          "w1", "not an address", "s", "a", false, new Resources(4_000, 8_000, 0), Set.of(), 1);

  private final List<CallResult> answers = new ArrayList<>();
  private final Set<Order> dropped = new HashSet<>();
  private final WorkerChannels channels =
      new WorkerChannels(
          new FailingGateway(),
          1,
          callThread(),
          Runnable::run,
          () -> 0,
          new WorkerChannels.Listener() {
            @Override
            public boolean isStillValid(Order order) {
              return !dropped.contains(order);
            }

            @Override
            public void orderAnswered(Order order, CallResult result) {
              answers.add(result);
            }

            @Override
            public void holdAnswered(
                HoldOrder order, long sentMillis, WorkerGateway.HoldAnswer answer) {
              answers.add(answer.result());
            }
          });

  private static final class FailingGateway implements WorkerGateway {
    @Override
    public CallResult send(Order order, long fence) {
      throw new IllegalArgumentException("Invalid URL host");
    }

    @Override
    public HoldAnswer hold(HoldOrder order, long fence) {
      throw new IllegalArgumentException("Invalid URL host");
    }
  }

  /** An exception ends a call's thread, and not the caller. */
  private static Executor callThread() {
    return call -> {
      Thread thread = new Thread(call, "call");
      thread.setUncaughtExceptionHandler((failed, cause) -> {});
      thread.start();
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    };
  }

  /** Guards against a worker that is never asked again after a request for lists has failed. */
  @Test
  void failedRequestForListsIsAnswered() {
    channels.hold(new HoldOrder(WORKER, 0, 0, 0));
    assertThat(channels.workersInHold()).isEmpty();
    assertThat(answers).containsExactly(CallResult.UNKNOWN);
  }

  /** Guards against orders that wait for ever behind others that have failed. */
  @Test
  void failedOrdersAreAnswered() {
    for (int index = 0; index < 4; index++) {
      channels.send(new Order.Stop(WORKER, new TaskId("f1", 0, 0, index), 1));
    }
    assertThat(answers).hasSize(4).containsOnly(CallResult.UNKNOWN);
  }

  /** Guards against an order that is sent although its reason has gone while it waited. */
  @Test
  void orderThatIsNoLongerDueIsNotSent() {
    Order stop = new Order.Stop(WORKER, new TaskId("f1", 0, 0, 0), 1);
    dropped.add(stop);
    channels.send(stop);
    channels.send(new Order.Stop(WORKER, new TaskId("f1", 0, 0, 1), 1));
    assertThat(answers).hasSize(1);
  }
}
