package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.scheduling.steps.StepModelHost.Lane;

/**
 * The calls of a term to the workers, as in {@code WorkerChannels} and {@code HttpCall}: two orders
 * at a time for each worker; no request is sent and no answer accepted after the limit of its call.
 * Not thread-safe.
 */
final class StepModelChannels {
  private static final int MAX_IN_FLIGHT = 2;
  private static final long CALL_MILLIS = 450;

  private final StepModel model;
  private final StepModelHost host;
  private final StepModelSession session;
  private final long fence;
  private final Map<String, Queue<Order>> queued = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();

  /** Receives the first outcome of a call. */
  interface Answer {
    void accept(CallResult result, WorkerReport report);
  }

  StepModelChannels(StepModel model, StepModelHost host, StepModelSession session, long fence) {
    this.model = model;
    this.host = host;
    this.session = session;
    this.fence = fence;
  }

  void send(Order order) {
    queued.computeIfAbsent(order.worker().id(), key -> new ArrayDeque<>()).add(order);
    sendNext(order.worker().id());
  }

  private void sendNext(String worker) {
    Queue<Order> queue = queued.get(worker);
    if (queue == null || inFlight.getOrDefault(worker, 0) >= MAX_IN_FLIGHT) {
      return;
    }
    Order valid = null;
    while (valid == null && !queue.isEmpty()) {
      Order next = queue.remove();
      valid = session.isStillValid(next) ? next : null;
    }
    if (valid != null) {
      inFlight.merge(worker, 1, Integer::sum);
      Order order = valid;
      session.nextStage(() -> dispatch(order));
    }
  }

  private void dispatch(Order order) {
    call(
        order.worker().id(),
        order.worker().address(),
        CALL_MILLIS,
        (worker, answer) -> answer.accept(worker.order(order, fence), null),
        (result, report) -> {
          inFlight.merge(order.worker().id(), -1, Integer::sum);
          session.orderAnswered(order, result);
          sendNext(order.worker().id());
        });
  }

  void hold(HoldOrder order) {
    long sent = model.now();
    call(
        order.worker().id(),
        order.worker().address(),
        CALL_MILLIS + order.waitMillis(),
        (worker, answer) -> {
          if (worker.hold(order, fence)) {
            awaitEnd(worker, model.now() + order.waitMillis(), answer);
          } else {
            answer.accept(CallResult.FENCED, null);
          }
        },
        (result, report) -> session.holdAnswered(order, sent, result, report));
  }

  private void awaitEnd(StepModelWorker worker, long deadline, Answer answer) {
    if (worker.isGone) {
      return;
    }
    if (worker.listsEnds() || model.now() >= deadline) {
      answer.accept(CallResult.ACCEPTED, worker.report());
    } else {
      model.at(Math.min(deadline, model.now() + 40), () -> awaitEnd(worker, deadline, answer));
    }
  }

  private void call(
      String id, String address, long limit, StepModel.WorkerOperation operation, Answer answer) {
    long sent = model.now();
    boolean[] isOver = {false};
    int caller = host.life();
    Answer finish =
        (result, report) ->
            host.runIn(
                caller,
                Lane.CALLS,
                0,
                () -> {
                  if (!isOver[0]) {
                    isOver[0] = true;
                    boolean isLate = model.now() - sent > limit && result != CallResult.NOT_SENT;
                    CallResult known = isLate ? CallResult.UNKNOWN : result;
                    model.freezeAtAnswer(host);
                    session.inLoop(() -> answer.accept(known, report));
                  }
                });
    host.run(
        Lane.CALLS,
        model.noise(2, "send " + id),
        () -> {
          if (model.now() - sent > limit) {
            finish.accept(CallResult.NOT_SENT, null);
          } else {
            model.workerCall(host.number, id, address, operation, finish);
          }
        });
    host.run(Lane.CALLS, limit + 1, () -> finish.accept(CallResult.UNKNOWN, null));
  }
}
