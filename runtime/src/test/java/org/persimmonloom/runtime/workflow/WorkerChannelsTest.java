package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
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

  /** Fails calls both when they are made and while they are in progress. */
  private static final class FailingGateway implements WorkerGateway {
    private int calls;

    @Override
    public CompletableFuture<CallResult> send(Order order, long fence) {
      return fail();
    }

    @Override
    public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
      return fail();
    }

    private <T> CompletableFuture<T> fail() {
      calls++;
      IllegalArgumentException cause = new IllegalArgumentException("Invalid URL host");
      if (calls % 2 == 0) {
        return CompletableFuture.failedFuture(cause);
      }
      throw cause;
    }
  }

  /** Guards against a worker that gets no further hold request after one has failed. */
  @Test
  void failedHoldReportsUnknownResult() {
    channels.hold(new HoldOrder(WORKER, 0, 0, 0));
    assertThat(channels.workersInHold()).isEmpty();
    assertThat(results).containsExactly(CallResult.UNKNOWN);
    channels.hold(new HoldOrder(WORKER, 0, 0, 0));
    assertThat(channels.workersInHold()).isEmpty();
    assertThat(results).containsExactly(CallResult.UNKNOWN, CallResult.UNKNOWN);
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
    BlockingQueue<CompletableFuture<CallResult>> called = new LinkedBlockingQueue<>();
    WorkerGateway slow =
        new WorkerGateway() {
          @Override
          public CompletableFuture<CallResult> send(Order order, long fence) {
            CompletableFuture<CallResult> answer = new CompletableFuture<>();
            called.add(answer);
            return answer;
          }

          @Override
          public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
            throw new AssertionError("no hold was sent");
          }
        };
    Semaphore answered = new Semaphore(0);
    ExecutorService loop = Executors.newSingleThreadExecutor();
    try {
      WorkerChannels limited =
          new WorkerChannels(slow, 1, loop, () -> 0, new CountingListener(answered));
      for (int worker = 0; worker < workers; worker++) {
        for (int index = 0; index < 2; index++) {
          Order order =
              new Order.Stop(worker("w" + worker), new TaskId("f1", 0, 0, 2 * worker + index), 1);
          loop.execute(() -> limited.send(order));
        }
      }
      List<CompletableFuture<CallResult>> first = new ArrayList<>();
      for (int index = 0; index < WorkerChannels.MAX_ORDERS_IN_PROGRESS; index++) {
        first.add(called.poll(10, TimeUnit.SECONDS));
      }
      assertThat(first).doesNotContainNull();
      assertThat(called.poll(300, TimeUnit.MILLISECONDS)).isNull();
      first.forEach(answer -> answer.complete(CallResult.ACCEPTED));
      for (int index = first.size(); index < 2 * workers; index++) {
        called.poll(10, TimeUnit.SECONDS).complete(CallResult.ACCEPTED);
      }
      assertThat(answered.tryAcquire(2 * workers, 10, TimeUnit.SECONDS)).isTrue();
    } finally {
      loop.shutdownNow();
    }
  }

  /**
   * Guards against one lost worker that keeps all others from getting starts: the orders that wait
   * for it counted as a backlog of the owner, which may then order no more starts.
   */
  @Test
  void ordersThatWaitForOneWorkerAreNoBacklogOfAll() {
    HangingGateway gateway = new HangingGateway();
    WorkerChannels shared =
        new WorkerChannels(
            gateway, 1, Runnable::run, () -> 0, new CountingListener(new Semaphore(0)));
    for (int index = 0; index < 100; index++) {
      shared.send(new Order.Stop(worker("lost"), new TaskId("f1", 0, 0, index), 1));
    }
    assertThat(shared.backlog()).isEqualTo(WorkerChannels.MAX_BACKLOG_OF_ONE_WORKER);

    gateway.answerNext(CallResult.UNKNOWN);
    assertThat(shared.backlog()).isZero();
    gateway.answerNext(CallResult.ACCEPTED);
    assertThat(shared.backlog()).isEqualTo(WorkerChannels.MAX_BACKLOG_OF_ONE_WORKER);
  }

  /** Guards against lost workers whose calls, which last until their time limits, take all room. */
  @Test
  void ordersToSilentWorkersLeaveRoomForOthers() {
    HangingGateway gateway = new HangingGateway();
    WorkerChannels shared =
        new WorkerChannels(
            gateway, 1, Runnable::run, () -> 0, new CountingListener(new Semaphore(0)));
    for (int lost = 0; lost < WorkerChannels.MAX_ORDERS_IN_PROGRESS; lost++) {
      for (int index = 0; index < 4; index++) {
        shared.send(new Order.Stop(worker("lost" + lost), new TaskId("f1", 0, lost, index), 1));
      }
    }
    for (int call = 0; call < 3 * WorkerChannels.MAX_ORDERS_IN_PROGRESS; call++) {
      gateway.answerNext(CallResult.UNKNOWN);
    }
    assertThat(shared.callsInProgress()).isEqualTo(WorkerChannels.MAX_ORDERS_TO_SILENT_WORKERS);

    shared.send(new Order.Stop(worker("sound"), new TaskId("f2", 0, 0, 0), 1));
    assertThat(gateway.lastCalled()).isEqualTo("sound");
  }

  /** Answers orders only when it is told to, in the order of the calls. */
  private static final class HangingGateway implements WorkerGateway {
    private final Queue<CompletableFuture<CallResult>> calls = new ArrayDeque<>();
    private String lastCalled = "";

    @Override
    public CompletableFuture<CallResult> send(Order order, long fence) {
      CompletableFuture<CallResult> answer = new CompletableFuture<>();
      calls.add(answer);
      lastCalled = order.worker().id();
      return answer;
    }

    @Override
    public CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence) {
      throw new AssertionError("no hold was sent");
    }

    void answerNext(CallResult result) {
      calls.remove().complete(result);
    }

    String lastCalled() {
      return lastCalled;
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
