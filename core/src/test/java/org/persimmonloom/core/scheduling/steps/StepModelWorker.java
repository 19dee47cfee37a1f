package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/** One process of a worker, by the rules of the platform's protocol. Not thread-safe. */
final class StepModelWorker {
  static final int SLOTS = 4;
  private static final long MAX_LEASE_MILLIS = 6_000;

  final String id;
  final String address;
  final String service;
  final int machine;
  final long bornMillis;
  private final StepModel model;
  private final double clockRate;
  private final Map<TaskId, Present> running = new HashMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<TaskId, Integer> highest = new HashMap<>();
  private long lastEnd;
  private long fence;
  private long leaseUntil;
  private boolean hasLapsed = true;
  private int lapses;
  boolean isGone;

  private record Present(StepLedger.Run run, long endsAt, EndCause cause, long stoppedAt) {}

  private record Ended(long number, StepLedger.Run run, int lapsesBefore) {}

  StepModelWorker(StepModel model, String id, String address, String service, int machine) {
    this.model = model;
    this.id = id;
    this.address = address;
    this.service = service;
    this.machine = machine;
    bornMillis = model.now();
    clockRate = 1 - 0.0002 * model.noise(100, "rate " + id + bornMillis);
  }

  WorkerFacts facts() {
    Resources capacity = new Resources(SLOTS * 1_000, 8_000, 0);
    return new WorkerFacts(id, address, service, "a", false, capacity, Set.of(), bornMillis);
  }

  private long clock(long millis) {
    return (long) ((millis - bornMillis) * clockRate);
  }

  private long realTime(long clock) {
    return bornMillis + (long) Math.ceil(clock / clockRate);
  }

  void crash() {
    advance();
    isGone = true;
    running.values().forEach(present -> model.ledger().end(present.run, null, model.now()));
    running.clear();
  }

  /** Ends the runs whose time is over, each at its own time. */
  void advance() {
    long clock = clock(model.now());
    long lapseAt = hasLapsed ? Long.MAX_VALUE : leaseUntil;
    for (TaskId task : running.keySet().stream().sorted(StepModel.TASK_ORDER).toList()) {
      Present present = running.get(task);
      long endAt = Math.min(present.endsAt, Math.min(present.stoppedAt, lapseAt));
      if (clock < endAt) {
        continue;
      }
      EndCause cause =
          endAt == present.endsAt
              ? present.cause
              : endAt == lapseAt ? EndCause.LEASE_EXPIRED : EndCause.STOPPED;
      running.remove(task);
      lastEnd++;
      highest.merge(task, present.run.number, Math::max);
      ended.add(new Ended(lastEnd, present.run, lapses));
      model.ledger().end(present.run, cause, realTime(endAt));
      model.trace("%s ends %s %s", id, present.run, cause);
    }
    if (clock >= lapseAt) {
      hasLapsed = true;
      lapses++;
      model.trace("%s lease lapses", id);
    }
  }

  private boolean accepts(long callFence) {
    advance();
    if (callFence < fence) {
      return false;
    }
    fence = callFence;
    return true;
  }

  private void extendLease(long until) {
    long bounded = Math.min(until, clock(model.now()) + MAX_LEASE_MILLIS);
    if (bounded > leaseUntil) {
      leaseUntil = bounded;
      hasLapsed = clock(model.now()) >= leaseUntil;
    }
  }

  CallResult order(Order order, long callFence) {
    if (!accepts(callFence)) {
      return CallResult.FENCED;
    }
    if (order instanceof Order.Start start) {
      return start(start);
    }
    if (order instanceof Order.Stop) {
      stop(order);
    }
    return CallResult.ACCEPTED;
  }

  private CallResult start(Order.Start order) {
    long clock = clock(model.now());
    Present present = running.get(order.task());
    if (present != null && present.run.number == order.run()) {
      extendLease(order.leaseUntilMillis());
      return CallResult.ACCEPTED;
    }
    if (order.leaseUntilMillis() <= clock) {
      return CallResult.LEASE_TOO_OLD;
    }
    extendLease(order.leaseUntilMillis());
    if (present != null || order.run() <= highest.getOrDefault(order.task(), 0)) {
      return CallResult.RUN_SUPERSEDED;
    }
    if (running.size() >= SLOTS) {
      return CallResult.NO_ROOM;
    }
    model.advanceWorkers();
    StepLedger.Run run = model.ledger().begin(order.task(), order.run(), id, fence, model.now());
    model.ledger().checkAfterEnd(run);
    model.trace("%s begins %s", id, run);
    long length = StepModel.taskMillis(order.task(), order.run());
    EndCause cause = StepModel.fails(order.task(), order.run()) ? EndCause.FAILED : EndCause.DONE;
    running.put(order.task(), new Present(run, clock + length, cause, Long.MAX_VALUE));
    return CallResult.ACCEPTED;
  }

  private void stop(Order order) {
    Present present = running.get(order.task());
    highest.merge(order.task(), order.run(), Math::max);
    if (present != null && present.run.number <= order.run()) {
      long stopAt = clock(model.now()) + 20 + model.noise(830, "stop " + order.task());
      running.put(
          order.task(),
          new Present(
              present.run, present.endsAt, present.cause, Math.min(present.stoppedAt, stopAt)));
    }
  }

  /** Takes a poll; returns false if its fence is too low. */
  boolean hold(HoldOrder order, long callFence) {
    if (!accepts(callFence)) {
      return false;
    }
    if (order.leaseUntilMillis() > 0) {
      extendLease(order.leaseUntilMillis());
    }
    for (Ended end : List.copyOf(ended)) {
      if (end.number <= order.acknowledgedEnd()) {
        ended.remove(end);
        if (end.lapsesBefore == lapses) {
          model.ledger().note(end.run, model.now());
        }
        model.checkRecorded(end.run);
      }
    }
    return true;
  }

  /** Returns whether a poll has something to tell at once. */
  boolean listsEnds() {
    advance();
    return !ended.isEmpty();
  }

  WorkerReport report() {
    advance();
    List<RunningTask> present = new ArrayList<>();
    running.keySet().stream()
        .sorted(StepModel.TASK_ORDER)
        .forEach(
            task -> present.add(new RunningTask(task, running.get(task).run.number, "", 100, 0)));
    List<EndedTask> ends = new ArrayList<>();
    for (Ended end : ended.subList(0, Math.min(ended.size(), model.pageSize()))) {
      ends.add(new EndedTask(end.number, end.run.task, end.run.number, end.run.cause, ""));
    }
    boolean listsAll = ends.size() < model.pageSize();
    return new WorkerReport(clock(model.now()), bornMillis, present, ends, listsAll);
  }
}
