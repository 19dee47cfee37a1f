package org.persimmonloom.core.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.persimmonloom.core.workflow.TaskId;

/**
 * Applies the status reports of workers to their runs and tasks. Not thread-safe.
 *
 * <p>Orders name the worker, not its process, so the rules are the same for a new process: a run is
 * over if its end is listed, or if its last order was answered before the report was requested, the
 * report lacks it and lists all ends.
 */
final class WorkerReportHandler {
  private final RunEndHandler endHandler;
  private final OccurrenceTable occurrenceTable;
  private final long maxLeaseMillis;

  WorkerReportHandler(
      RunEndHandler endHandler, OccurrenceTable occurrenceTable, long maxLeaseMillis) {
    this.endHandler = endHandler;
    this.occurrenceTable = occurrenceTable;
    this.maxLeaseMillis = maxLeaseMillis;
  }

  /**
   * Applies a report.
   *
   * @param address address at which the worker answered
   * @param sentMillis monotonic time at which the report was requested, in ms
   */
  void apply(
      WorkerState worker, String address, long sentMillis, WorkerReport report, long nowMillis) {
    boolean isNewProcess = worker.isOtherProcess(report.bornMillis());
    if (isNewProcess) {
      worker.lease = new LeaseClock(maxLeaseMillis);
      worker.processedEnd = 0;
      worker.batchedEnd = 0;
      worker.recordedEnd = 0;
    }
    if (report.bornMillis() != 0) {
      worker.bornMillis = report.bornMillis();
    }
    worker.lease.observe(report.clockMillis(), nowMillis);
    worker.lastReportMillis = nowMillis;
    worker.lastReportSentMillis = sentMillis;
    worker.confirmedAddress = address;
    if (isNewProcess || !worker.hasReported) {
      // Earlier owners may have granted leases until now, but none later under their lower fences.
      // A new process may have taken leases from orders that were meant for the previous one.
      worker.lease.grant(nowMillis);
    }
    if (!worker.hasReported) {
      worker.hasReported = true;
      worker.firstReportMillis = nowMillis;
    }
    worker.isReachable = true;
    boolean hasListedEarlier = worker.hasListedAllEnds && !isNewProcess;
    worker.hasListedAllEnds = hasListedEarlier || report.listsAllEnds();
    worker.hasUnlistedEnds = !report.listsAllEnds();
    worker.listedEnds = report.ended();
    long processedBefore = worker.processedEnd;
    for (EndedTask ended : report.ended()) {
      if (ended.number() > processedBefore) {
        worker.processedEnd = Math.max(worker.processedEnd, ended.number());
        endHandler.runEnded(worker, ended, sentMillis, nowMillis);
      }
    }
    RunRelease absence = isNewProcess ? RunRelease.PROCESS_REPLACED : RunRelease.NOT_REPORTED;
    updateRuns(worker, sentMillis, report, absence, nowMillis);
  }

  /**
   * Applies the runs in a report.
   *
   * @param absence what it means that the report lacks a run whose orders had been answered; an
   *     order that is unanswered may have reached a new process as well
   */
  private void updateRuns(
      WorkerState worker,
      long sentMillis,
      WorkerReport report,
      RunRelease absence,
      long nowMillis) {
    Set<TaskId> present = new HashSet<>();
    for (RunningTask running : report.running()) {
      present.add(running.task());
      TaskRun run = worker.runs.get(running.task());
      if (run == null || run.number != running.run()) {
        run = adopt(worker, running, sentMillis, nowMillis);
      }
      OccurrenceState occurrence = occurrenceTable.occurrence(running.task());
      occurrenceTable.markBegun(occurrence);
      run.speedPercent = running.percent();
      run.load = running.load();
      run.mayHaveUnlistedEnd = false;
      if (run.phase == TaskRun.Phase.STARTING) {
        run.phase = TaskRun.Phase.RUNNING;
        run.orderAnsweredMillis = nowMillis;
        run.isUnanswered = false;
      }
      TaskState task = occurrence == null ? null : occurrence.task(running.task());
      if (task != null) {
        task.recordCheckpoint(running.run(), running.checkpoint());
      }
    }
    for (TaskRun run : List.copyOf(worker.runs.values())) {
      if (!present.contains(run.task) && sentMillis > run.orderAnsweredMillis) {
        if (report.listsAllEnds()) {
          endHandler.release(run, absence, sentMillis, nowMillis);
        } else {
          run.mayHaveUnlistedEnd = true;
          run.load = 0;
        }
      }
    }
  }

  private TaskRun adopt(WorkerState worker, RunningTask running, long sentMillis, long nowMillis) {
    TaskRun previous = worker.runs.get(running.task());
    if (previous != null) {
      endHandler.release(previous, RunRelease.OTHER_RUN_REPORTED, sentMillis, nowMillis);
    }
    OccurrenceState occurrence = occurrenceTable.occurrence(running.task());
    TaskState task = occurrence == null ? null : occurrence.task(running.task());
    TaskRun run = new TaskRun(running.task(), running.run(), worker, occurrence, nowMillis);
    run.phase = TaskRun.Phase.RUNNING;
    run.orderAnsweredMillis = nowMillis;
    worker.add(run);
    if (task != null) {
      task.lastRun = Math.max(task.lastRun, running.run());
      occurrence.runSeen(task, running.run());
      if (task.isRunnable() || occurrence.step(task.step).speculative()) {
        occurrence.addRun(task, run);
      }
    }
    return run;
  }
}
