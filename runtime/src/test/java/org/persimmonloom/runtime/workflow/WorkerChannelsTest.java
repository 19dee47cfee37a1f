package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/** Tests calls to workers that throw exceptions, and many calls at a time. */
class WorkerChannelsTest {
  private static final WorkerFacts WORKER =
      new WorkerFacts(
          "w1", "not an address", "s", "a", false, new Resources(4_000, 8_000, 0), Set.of(), 1);

  private final List<CallResult> results = new ArrayList<>();
  private final Set<Order> obsoleteOrders = new HashSet<>();
  private final WorkerChannels channels =
      new WorkerChannels(
          new FailingGateway(),
          1,
          newThreadPerCall(),
          Runnable::run,
          () -> 0,
          new WorkerChannels.Listener() {
            @Override
            public boolean isStillValid(Order order) {
              return !obsoleteOrders.contains(order);
            }

            @Override
            public void orderSent(Order order, long waitedMillis) {
              // Not observed here.
            }

            @Override
            public void orderAnswered(Order order, CallResult result) {
              results.add(result);
            }

            @Override
            public void holdAnswered(
                HoldOrder order, long sentMillis, WorkerGateway.HoldAnswer answer) {
              results.add(answer.result());
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

  /** Runs each call on its own thread, where an exception does not reach the caller. */
  private static Executor newThreadPerCall() {
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

  /** Guards against a worker that gets no further hold request after one has failed. */
  @Test
  void failedHoldReportsUnknownResult() {
    channels.hold(new HoldOrder(WORKER, 0, 0, 0));
    assertThat(channels.workersInHold()).isEmpty();
    assertThat(results).containsExactly(CallResult.UNKNOWN);
  }

  /** Guards against orders that wait indefinitely behind failed ones. */
  @Test
  void failedOrdersReportUnknownResults() {
    for (int index = 0; index < 4; index++) {
      channels.send(new Order.Stop(WORKER, new TaskId("f1", 0, 0, index), 1));
    }
    assertThat(results).hasSize(4).containsOnly(CallResult.UNKNOWN);
  }

  /** Guards against sending an order that became obsolete while it was queued. */
  @Test
  void obsoleteOrderIsNotSent() {
    Order stop = new Order.Stop(WORKER, new TaskId("f1", 0, 0, 0), 1);
    obsoleteOrders.add(stop);
    channels.send(stop);
    channels.send(new Order.Stop(WORKER, new TaskId("f1", 0, 0, 1), 1));
    assertThat(results).hasSize(1);
  }

  /**
   * Guards against calls that take each other's processor time until their time limits end them:
   * 275 starts to sound workers were not sent within 4 s.
   */
  @Test
  void ordersToManyWorkersAreSentAFewAtATime() throws Exception {
    int workers = 3 * WorkerChannels.MAX_ORDERS_IN_PROGRESS;
    BlockingQueue<Order> called = new LinkedBlockingQueue<>();
    Semaphore mayAnswer = new Semaphore(0);
    WorkerGateway slow =
        new WorkerGateway() {
          @Override
          public CallResult send(Order order, long fence) {
            called.add(order);
            mayAnswer.acquireUninterruptibly();
            return CallResult.ACCEPTED;
          }

          @Override
          public HoldAnswer hold(HoldOrder order, long fence) {
            return new HoldAnswer(CallResult.UNKNOWN, null);
          }
        };
    Semaphore answered = new Semaphore(0);
    ExecutorService calls = Executors.newCachedThreadPool();
    ExecutorService loop = Executors.newSingleThreadExecutor();
    try {
      WorkerChannels limited =
          new WorkerChannels(slow, 1, calls, loop, () -> 0, new CountingListener(answered));
      for (int worker = 0; worker < workers; worker++) {
        for (int index = 0; index < 2; index++) {
          Order order =
              new Order.Stop(worker("w" + worker), new TaskId("f1", 0, 0, 2 * worker + index), 1);
          loop.execute(() -> limited.send(order));
        }
      }
      for (int first = 0; first < WorkerChannels.MAX_ORDERS_IN_PROGRESS; first++) {
        assertThat(called.poll(10, TimeUnit.SECONDS)).isNotNull();
      }
      assertThat(called.poll(300, TimeUnit.MILLISECONDS)).isNull();
      mayAnswer.release(2 * workers);
      assertThat(answered.tryAcquire(2 * workers, 10, TimeUnit.SECONDS)).isTrue();
    } finally {
      mayAnswer.release(2 * workers);
      calls.shutdownNow();
      loop.shutdownNow();
    }
  }

  private static WorkerFacts worker(String id) {
    return new WorkerFacts(
        id, "10.0.0.1:80", "s", "a", false, new Resources(4_000, 8_000, 0), Set.of(), 1);
  }

  /** Counts the answers to orders. */
  private record CountingListener(Semaphore answered) implements WorkerChannels.Listener {
    @Override
    public boolean isStillValid(Order order) {
      return true;
    }

    @Override
    public void orderSent(Order order, long waitedMillis) {
      // Not observed here.
    }

    @Override
    public void orderAnswered(Order order, CallResult result) {
      answered.release();
    }

    @Override
    public void holdAnswered(HoldOrder order, long sentMillis, WorkerGateway.HoldAnswer answer) {
      throw new AssertionError("no hold was sent");
    }
  }
}
