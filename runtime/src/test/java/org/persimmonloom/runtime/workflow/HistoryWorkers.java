package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.EndCause;
import org.persimmonloom.core.scheduling.EndedTask;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.RunningTask;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;

/**
 * Simulated workers that check what owners tell them: no task runs twice at the same time, or again
 * after an end as done that is acknowledged then or later. Not thread-safe.
 */
final class HistoryWorkers {
  /** An end as done. */
  private static final class DoneEnd {
    boolean isAcknowledged;
    boolean isFollowedByStart;

    /** Whether the lease lapsed before the end was acknowledged, so that the task may run again. */
    boolean hasLapsed;
  }

  private static final class Worker {
    final WorkerFacts facts;
    final Map<TaskId, Integer> running = new HashMap<>();
    final Map<TaskId, Integer> highestEnded = new HashMap<>();
    final List<EndedTask> ended = new ArrayList<>();
    final Map<Long, DoneEnd> doneEnds = new HashMap<>();
    long fence;
    long leaseUntilMillis;
    long endCount;

    Worker(WorkerFacts facts) {
      this.facts = facts;
    }
  }

  private static final long BORN_MILLIS = 1_000;

  /** Receives the acknowledgement of an end as done, before the worker forgets it. */
  interface AcknowledgementCheck {
    void check(TaskId task);
  }

  private final Map<String, Worker> workers = new TreeMap<>();
  private final Map<TaskId, List<DoneEnd>> doneEnds = new HashMap<>();
  private final AcknowledgementCheck acknowledgementCheck;
  private int starts;

  HistoryWorkers(int countOfEachService, AcknowledgementCheck acknowledgementCheck) {
    this.acknowledgementCheck = acknowledgementCheck;
    for (String service : List.of("s1", "s2")) {
      for (int i = 0; i < countOfEachService; i++) {
        String id = service + "-w" + i;
        workers.put(
            id,
            new Worker(
                new WorkerFacts(
                    id,
                    "10.0.0." + workers.size() + ":80",
                    service,
                    "a",
                    false,
                    new Resources(4_000, 8_000, 0),
                    Set.of("kind-a"),
                    BORN_MILLIS)));
      }
    }
  }

  List<WorkerFacts> facts() {
    return workers.values().stream().map(worker -> worker.facts).toList();
  }

  int starts() {
    return starts;
  }

  /** Ends runs whose lease has lapsed, and some others at random. */
  void advance(Random random, long nowMillis) {
    for (Worker worker : workers.values()) {
      if (nowMillis > worker.leaseUntilMillis) {
        worker.doneEnds.values().forEach(end -> end.hasLapsed |= !end.isAcknowledged);
        new TreeMap<>(byName(worker)).values().forEach(t -> end(worker, t, EndCause.LEASE_EXPIRED));
      }
      for (TaskId task : new TreeMap<>(byName(worker)).values()) {
        int draw = random.nextInt(400);
        if (draw < 12) {
          end(worker, task, draw < 10 ? EndCause.DONE : EndCause.FAILED);
        }
      }
    }
  }

  private static Map<String, TaskId> byName(Worker worker) {
    Map<String, TaskId> names = new TreeMap<>();
    worker.running.keySet().forEach(task -> names.put(task.toString(), task));
    return names;
  }

  private void end(Worker worker, TaskId task, EndCause cause) {
    int run = worker.running.remove(task);
    worker.highestEnded.merge(task, run, Math::max);
    worker.endCount++;
    worker.ended.add(new EndedTask(worker.endCount, task, run, cause, ""));
    if (cause == EndCause.DONE) {
      DoneEnd end = new DoneEnd();
      worker.doneEnds.put(worker.endCount, end);
      doneEnds.computeIfAbsent(task, key -> new ArrayList<>()).add(end);
    }
  }

  /** Carries out an order of an owner. */
  CallResult execute(Order order, long fence, long nowMillis) {
    Worker worker = workers.get(order.worker().id());
    if (fence < worker.fence) {
      return CallResult.FENCED;
    }
    worker.fence = fence;
    TaskId task = order.task();
    if (order instanceof Order.Start start) {
      return start(worker, start, nowMillis);
    }
    if (order instanceof Order.Stop) {
      if (worker.running.getOrDefault(task, -1) == order.run()) {
        end(worker, task, EndCause.STOPPED);
      }
      worker.highestEnded.merge(task, order.run(), Math::max);
    }
    return CallResult.ACCEPTED;
  }

  private CallResult start(Worker worker, Order.Start order, long nowMillis) {
    TaskId task = order.task();
    if (order.leaseUntilMillis() < nowMillis) {
      return CallResult.LEASE_TOO_OLD;
    }
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, order.leaseUntilMillis());
    if (order.run() <= worker.highestEnded.getOrDefault(task, 0)) {
      return CallResult.RUN_SUPERSEDED;
    }
    for (Worker other : workers.values()) {
      if (other.running.containsKey(task)) {
        throw new AssertionError(
            "second run of " + task + " on " + worker.facts.id() + " beside " + other.facts.id());
      }
    }
    for (DoneEnd end : doneEnds.getOrDefault(task, List.of())) {
      if (end.isAcknowledged && !end.hasLapsed) {
        throw new AssertionError("start of " + task + " after an acknowledged end as done");
      }
      end.isFollowedByStart = true;
    }
    starts++;
    worker.running.put(task, order.run());
    return CallResult.ACCEPTED;
  }

  /** Answers a hold; null if the worker has seen a higher fence. */
  WorkerReport hold(HoldOrder hold, long fence, long nowMillis) {
    Worker worker = workers.get(hold.worker().id());
    if (fence < worker.fence) {
      return null;
    }
    worker.fence = fence;
    worker.leaseUntilMillis = Math.max(worker.leaseUntilMillis, hold.leaseUntilMillis());
    for (EndedTask ended : worker.ended) {
      DoneEnd end = worker.doneEnds.get(ended.number());
      if (ended.number() <= hold.acknowledgedEnd() && end != null && !end.hasLapsed) {
        if (end.isFollowedByStart) {
          throw new AssertionError("end as done of " + ended.task() + " noted after a later start");
        }
        acknowledgementCheck.check(ended.task());
        end.isAcknowledged = true;
      }
    }
    worker.ended.removeIf(ended -> ended.number() <= hold.acknowledgedEnd());
    List<RunningTask> running = new ArrayList<>();
    worker.running.forEach((task, run) -> running.add(new RunningTask(task, run, "", 100, 0)));
    return new WorkerReport(nowMillis, BORN_MILLIS, running, worker.ended);
  }
}
