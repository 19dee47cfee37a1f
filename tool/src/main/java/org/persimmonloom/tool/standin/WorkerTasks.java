package org.persimmonloom.tool.standin;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.TaskReport;
import org.persimmonloom.core.job.TaskState;
import org.persimmonloom.core.job.WorkerReport;
import org.persimmonloom.runtime.worker.RenewRequest;
import org.persimmonloom.runtime.worker.StartRequest;
import org.persimmonloom.runtime.worker.TaskRequest;

/**
 * The tasks of one stand-in of a worker and the rules that a worker must keep: one run per attempt,
 * leases on its own clock, no more tasks than room, and no start for another boot or after a stop.
 * Safe for any thread.
 */
final class WorkerTasks {
  private final String worker;
  private final JobSize size;
  private final InstantSource clock;
  private final TaskLedger ledger;
  private final Function<String, TaskBehaviour> behaviours;
  private final long usageLagMillis;
  private final Map<String, StandInTask> tasks = new TreeMap<>();
  private long boot = 1;
  private boolean failsEverything;

  WorkerTasks(
      String worker,
      JobSize size,
      InstantSource clock,
      TaskLedger ledger,
      Function<String, TaskBehaviour> behaviours,
      long usageLagMillis) {
    this.worker = worker;
    this.size = size;
    this.clock = clock;
    this.ledger = ledger;
    this.behaviours = behaviours;
    this.usageLagMillis = usageLagMillis;
  }

  synchronized void failEverything(boolean fails) {
    failsEverything = fails;
  }

  /** Ends all tasks and forgets them. */
  synchronized void reboot() {
    advance();
    for (StandInTask task : tasks.values()) {
      if (task.isRunning()) {
        ledger.ended(task.job, worker, task.attempt, clock.millis(), TaskState.FAILED);
      }
    }
    tasks.clear();
    boot++;
  }

  synchronized WorkerReport report() {
    advance();
    List<TaskReport> reports =
        tasks.values().stream().map(task -> task.report(usageLagMillis)).toList();
    return new WorkerReport(boot, clock.millis(), reports);
  }

  /** Returns the task's report, or null if the start is meant for another boot or is too late. */
  synchronized TaskReport start(String job, int attempt, StartRequest request) {
    advance();
    long untilMillis = request.clockMillis() + request.leaseMillis();
    if (request.boot() != boot) {
      return null;
    }
    StandInTask known = tasks.get(key(job, attempt));
    if (known != null) {
      return known.report(usageLagMillis);
    }
    if (untilMillis <= clock.millis()) {
      return null;
    }
    StandInTask task =
        new StandInTask(
            job,
            attempt,
            request.size(),
            behaviour(request.kind()),
            request.placedOffset(),
            request.checkpoint());
    tasks.put(key(job, attempt), task);
    if (!used().plus(request.size()).fitsIn(size)) {
      task.endAs(TaskState.REFUSED, "no room beside " + used(), clock.millis());
    } else {
      task.start(clock.millis(), untilMillis);
      ledger.started(job, worker, attempt, clock.millis());
      advance();
    }
    return task.report(usageLagMillis);
  }

  private TaskBehaviour behaviour(String kind) {
    return failsEverything
        ? new TaskBehaviour(0, 1, 1, "the worker is broken")
        : behaviours.apply(kind);
  }

  private JobSize used() {
    return tasks.values().stream()
        .filter(StandInTask::isRunning)
        .map(task -> task.size)
        .reduce(JobSize.NONE, JobSize::plus);
  }

  synchronized WorkerReport renew(RenewRequest request) {
    advance();
    if (request.boot() == boot) {
      long untilMillis = request.clockMillis() + request.leaseMillis();
      request.attempts().stream()
          .map(ref -> tasks.get(key(ref.job(), ref.attempt())))
          .filter(task -> task != null && task.isRunning())
          .forEach(task -> task.renew(untilMillis));
    }
    return report();
  }

  /** Returns the task's report, or null if there is no such task in this boot. */
  synchronized TaskReport change(String job, int attempt, String action, TaskRequest request) {
    advance();
    if (request.boot() != boot) {
      return null;
    }
    StandInTask task = tasks.get(key(job, attempt));
    if (action.equals("stop")) {
      return stop(job, attempt, task).report(usageLagMillis);
    }
    if (task == null) {
      return null;
    }
    if (task.isRunning() && action.equals("checkpoint")) {
      task.writeCheckpoint();
    } else if (task.isRunning() && action.equals("throttle")) {
      task.throttle(request.percent());
    }
    return task.report(usageLagMillis);
  }

  /** A stop that arrives before its start is remembered and refuses it. */
  private StandInTask stop(String job, int attempt, StandInTask known) {
    StandInTask task = known;
    if (task == null) {
      TaskBehaviour none = TaskBehaviour.succeeding(0);
      task = new StandInTask(job, attempt, JobSize.NONE, none, -1, "");
      tasks.put(key(job, attempt), task);
      task.endAs(TaskState.STOPPED, "stopped before its start", clock.millis());
    } else if (task.isRunning()) {
      task.endAs(TaskState.STOPPED, "stopped", clock.millis());
      ledger.ended(job, worker, attempt, clock.millis(), TaskState.STOPPED);
    }
    return task;
  }

  private void advance() {
    long nowMillis = clock.millis();
    for (StandInTask task : tasks.values()) {
      if (task.advance(nowMillis)) {
        ledger.ended(task.job, worker, task.attempt, task.endMillis(), task.state());
      }
    }
    tasks
        .values()
        .removeIf(
            task ->
                !task.isRunning()
                    && nowMillis - task.endMillis() > WorkerReport.ENDED_TASK_RETENTION_MILLIS);
  }

  private static String key(String job, int attempt) {
    return job + '/' + attempt;
  }
}
