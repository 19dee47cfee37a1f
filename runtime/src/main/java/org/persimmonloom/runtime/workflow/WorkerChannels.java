package org.persimmonloom.runtime.workflow;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;

/**
 * Sends orders and hold requests, which poll for status reports, to workers.
 *
 * <p>Each worker gets at most {@link #MAX_ORDERS_IN_FLIGHT} orders at a time, in FIFO order, and
 * one hold request, which limits the connections of an owner. All workers together get at most
 * {@link #MAX_ORDERS_IN_PROGRESS}: on a busy host, more calls at a time would take each other's
 * processor time until their time limits end them, as if their workers could not be reached. A
 * queued order may become obsolete, so it is checked again before it is sent.
 *
 * <p>A call to a silent worker, whose last call got no answer, lasts until its time limit. Silent
 * workers therefore get one order at a time, share a part of the orders in progress, and do not
 * count towards {@link #backlog}. Confined to the owner's loop, except for the calls themselves.
 */
final class WorkerChannels {
  private static final Logger LOG = LogManager.getLogger(WorkerChannels.class);

  /** Receives results of calls, on the owner's loop. */
  interface Listener {
    /**
     * Returns whether a queued order should still be sent. Otherwise it is dropped, and the
     * listener must undo it.
     */
    boolean isStillValid(Order order);

    /** An order is about to be sent, after it has waited for the given time. */
    void orderSent(Order order, long waitedMillis);

    void orderAnswered(Order order, CallResult result);

    void holdAnswered(HoldOrder order, long sentMillis, WorkerGateway.HoldAnswer answer);
  }

  private static final int MAX_ORDERS_IN_FLIGHT = 2;
  static final int MAX_ORDERS_IN_PROGRESS = 64;

  /** Maximum orders in progress to all silent workers together. */
  static final int MAX_ORDERS_TO_SILENT_WORKERS = MAX_ORDERS_IN_PROGRESS / 4;

  /** Maximum orders of one worker that count towards the backlog of all. */
  static final int MAX_BACKLOG_OF_ONE_WORKER = 8;

  private final WorkerGateway gateway;
  private final long fence;
  private final Executor loopExecutor;
  private final LongSupplier clock;
  private final Listener listener;
  private final Map<String, Queue<QueuedOrder>> queuedOrders = new HashMap<>();
  private final Map<String, Integer> ordersInFlight = new HashMap<>();
  private final Set<String> workersInHold = new HashSet<>();

  /** Workers whose next order waits until fewer orders are in progress, longest wait first. */
  private final Set<String> waitingWorkers = new LinkedHashSet<>();

  /** Silent workers among those whose next order waits. */
  private final Set<String> waitingSilentWorkers = new LinkedHashSet<>();

  /** Workers whose last call got no answer. */
  private final Set<String> silentWorkers = new HashSet<>();

  private int ordersInProgress;
  private int queuedCount;

  private record QueuedOrder(Order order, long queuedMillis) {}

  WorkerChannels(
      WorkerGateway gateway,
      long fence,
      Executor loopExecutor,
      LongSupplier clock,
      Listener listener) {
    this.gateway = gateway;
    this.fence = fence;
    this.loopExecutor = loopExecutor;
    this.clock = clock;
    this.listener = listener;
  }

  Set<String> workersInHold() {
    return workersInHold;
  }

  /** Returns the number of orders and hold requests that are not answered yet. */
  int callsInProgress() {
    return ordersInProgress + workersInHold.size();
  }

  /** Returns the number of orders that are not sent yet. */
  int queuedCount() {
    return queuedCount;
  }

  /**
   * Returns the number of orders that are not sent yet and wait for this owner rather than for
   * their worker: one worker counts with a few orders only, a silent one not at all.
   */
  int backlog() {
    int backlog = 0;
    for (Map.Entry<String, Queue<QueuedOrder>> entry : queuedOrders.entrySet()) {
      if (!silentWorkers.contains(entry.getKey())) {
        backlog += Math.min(entry.getValue().size(), MAX_BACKLOG_OF_ONE_WORKER);
      }
    }
    return backlog;
  }

  void send(Order order) {
    queuedOrders
        .computeIfAbsent(order.worker().id(), key -> new ArrayDeque<>())
        .add(new QueuedOrder(order, clock.getAsLong()));
    queuedCount++;
    sendNext(order.worker().id());
  }

  private void sendNext(String worker) {
    if (!hasSendableOrder(worker)) {
      return;
    }
    if (isSilentLimitReached(worker)) {
      waitingSilentWorkers.add(worker);
      return;
    }
    if (ordersInProgress >= MAX_ORDERS_IN_PROGRESS) {
      waitingWorkers.add(worker);
      return;
    }
    QueuedOrder next = nextValid(worker);
    if (next != null) {
      ordersInFlight.merge(worker, 1, Integer::sum);
      ordersInProgress++;
      listener.orderSent(next.order(), clock.getAsLong() - next.queuedMillis());
      dispatch(next.order());
    }
  }

  private boolean isSilentLimitReached(String worker) {
    return silentWorkers.contains(worker)
        && ordersToSilentWorkers() >= MAX_ORDERS_TO_SILENT_WORKERS;
  }

  private int ordersToSilentWorkers() {
    int count = 0;
    for (Map.Entry<String, Integer> inFlight : ordersInFlight.entrySet()) {
      count += silentWorkers.contains(inFlight.getKey()) ? inFlight.getValue() : 0;
    }
    return count;
  }

  /** Removes orders up to the first valid one, and returns it; null if there is none. */
  private QueuedOrder nextValid(String worker) {
    Queue<QueuedOrder> queue = queuedOrders.get(worker);
    QueuedOrder valid = null;
    while (valid == null && !queue.isEmpty()) {
      QueuedOrder next = queue.poll();
      queuedCount--;
      valid = listener.isStillValid(next.order()) ? next : null;
    }
    if (queue.isEmpty()) {
      queuedOrders.remove(worker);
    }
    return valid;
  }

  private void dispatch(Order order) {
    call(() -> gateway.send(order, fence))
        .handle(
            (result, failure) -> {
              CallResult known = failure == null ? result : orderFailed(order, failure);
              loopExecutor.execute(() -> handleAnswer(order, known));
              return known;
            });
  }

  private void handleAnswer(Order order, CallResult result) {
    String worker = order.worker().id();
    ordersInFlight.computeIfPresent(worker, (key, count) -> count > 1 ? count - 1 : null);
    ordersInProgress--;
    recordAnswer(worker, result);
    listener.orderAnswered(order, result);
    waitingWorkers.add(worker);
    sendWaiting();
  }

  /** Notes whether a worker is silent, as long as it has orders. */
  private void recordAnswer(String worker, CallResult result) {
    boolean isSilent = result == CallResult.UNKNOWN || result == CallResult.NOT_SENT;
    if (isSilent && (queuedOrders.containsKey(worker) || ordersInFlight.containsKey(worker))) {
      silentWorkers.add(worker);
    } else {
      silentWorkers.remove(worker);
    }
  }

  /** Sends orders that waited, one for each worker in turn. */
  private void sendWaiting() {
    while (ordersInProgress < MAX_ORDERS_IN_PROGRESS && !waitingWorkers.isEmpty()) {
      String next = removeFirst(waitingWorkers);
      sendNext(next);
      if (hasSendableOrder(next) && !waitingSilentWorkers.contains(next)) {
        waitingWorkers.add(next);
      }
    }
    while (ordersInProgress < MAX_ORDERS_IN_PROGRESS
        && ordersToSilentWorkers() < MAX_ORDERS_TO_SILENT_WORKERS
        && !waitingSilentWorkers.isEmpty()) {
      sendNext(removeFirst(waitingSilentWorkers));
    }
  }

  private static String removeFirst(Set<String> workers) {
    String first = workers.iterator().next();
    workers.remove(first);
    return first;
  }

  private boolean hasSendableOrder(String worker) {
    Queue<QueuedOrder> queue = queuedOrders.get(worker);
    int maxInFlight = silentWorkers.contains(worker) ? 1 : MAX_ORDERS_IN_FLIGHT;
    return queue != null && ordersInFlight.getOrDefault(worker, 0) < maxInFlight;
  }

  void hold(HoldOrder order) {
    String worker = order.worker().id();
    workersInHold.add(worker);
    long sent = clock.getAsLong();
    call(() -> gateway.hold(order, fence))
        .handle(
            (answer, failure) -> {
              WorkerGateway.HoldAnswer known =
                  failure == null ? answer : holdFailed(order, failure);
              loopExecutor.execute(
                  () -> {
                    workersInHold.remove(worker);
                    recordAnswer(worker, known.result());
                    listener.holdAnswered(order, sent, known);
                  });
              return known;
            });
  }

  private static <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
    try {
      return call.get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** Returns an unknown result, since the worker may have executed the order. */
  private static CallResult orderFailed(Order order, Throwable cause) {
    LOG.warn(
        "event=order_failed worker={} task={} cause={}",
        order.worker().id(),
        order.task(),
        cause.toString());
    return CallResult.UNKNOWN;
  }

  private static WorkerGateway.HoldAnswer holdFailed(HoldOrder order, Throwable cause) {
    LOG.warn("event=hold_failed worker={} cause={}", order.worker().id(), cause.toString());
    return new WorkerGateway.HoldAnswer(CallResult.UNKNOWN, null);
  }
}
