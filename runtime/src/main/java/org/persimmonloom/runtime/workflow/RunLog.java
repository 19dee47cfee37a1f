package org.persimmonloom.runtime.workflow;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.EndCause;
import org.persimmonloom.core.scheduling.EndedTask;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.ReleasedRun;
import org.persimmonloom.core.scheduling.RunListener;
import org.persimmonloom.core.scheduling.RunRelease;
import org.persimmonloom.core.scheduling.RunningTask;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.TextDigest;

/**
 * Writes the life of the runs of one term to the log: why a task was free when its start was
 * decided, what released a run, whether its worker contradicts that later, and when an end was read
 * and acknowledged.
 *
 * <p>Starts of one pass, and ends of one report, share a line, which bounds the lines by the passes
 * and the reports. Confined to the owner's loop.
 */
final class RunLog implements RunListener {
  private static final Logger LOG = LogManager.getLogger(RunLog.class);

  /** Runs in one line; a line of many would be cut by tools that collect logs. */
  private static final int MAX_RUNS_PER_LINE = 32;

  /** Released runs that are remembered, to compare them with later reports. */
  private static final int MAX_REMEMBERED_RELEASES = 4_096;

  private final long fence;
  private final OwnerAges ages;
  private final Counter released;
  private final Counter contradicted;
  private final List<String> ordered = new ArrayList<>();
  private final Map<String, ReadEnds> readEnds = new HashMap<>();
  private final Map<String, Long> acknowledgedEnds = new HashMap<>();

  /** Runs that were released without their end, oldest first. */
  private final Map<RunKey, ReleasedRun> releasedWithoutEnd =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RunKey, ReleasedRun> eldest) {
          return size() > MAX_REMEMBERED_RELEASES;
        }
      };

  private record RunKey(String worker, TaskId task, int number) {}

  /** Ends of a worker's process that were read. */
  private record ReadEnds(long bornMillis, long number) {}

  /** Creates the log of one term. */
  RunLog(long fence, OwnerAges ages, WorkflowMetrics metrics) {
    this.fence = fence;
    this.ages = ages;
    released = metrics.releasedRuns;
    contradicted = metrics.contradictedReleases;
  }

  @Override
  public void runOrdered(Order.Start start, long submittedOffset, Optional<ReleasedRun> previous) {
    String free = previous.map(run -> " after #" + run.number() + ' ' + run.release()).orElse("");
    ordered.add(
        "%s#%d on %s%s submitted %d spec %s checkpoint %s"
            .formatted(
                start.task(),
                start.run(),
                start.worker().id(),
                free,
                submittedOffset,
                TextDigest.of(start.payload()),
                TextDigest.of(start.checkpoint())));
  }

  /** Writes the starts that were decided since the last call. */
  void logOrdered() {
    for (int from = 0; from < ordered.size(); from += MAX_RUNS_PER_LINE) {
      List<String> part = ordered.subList(from, Math.min(ordered.size(), from + MAX_RUNS_PER_LINE));
      LOG.info("event=runs_ordered fence={} {} runs={}", fence, ages, part);
    }
    ordered.clear();
  }

  @Override
  public void runReleased(ReleasedRun run) {
    released.labelValues(run.release().name()).inc();
    if (run.release() != RunRelease.END_REPORTED) {
      releasedWithoutEnd.put(new RunKey(run.worker(), run.task(), run.number()), run);
      LOG.info(
          "event=run_released task={} run={} worker={} fence={} proof={} proof_age_ms={}"
              + " reported_ms={} renewal_age_ms={}",
          run.task(),
          run.number(),
          run.worker(),
          fence,
          run.release(),
          run.releasedMillis() - run.evidenceMillis(),
          run.lastReportMillis() == 0 ? -1 : run.releasedMillis() - run.lastReportMillis(),
          ages.renewalMillis());
    }
  }

  /**
   * Writes the ends of a report that no earlier report of the same process has listed, and the runs
   * that it shows although they were released.
   *
   * @param nowMillis current time on the monotonic clock
   */
  void reportRead(String worker, WorkerReport report, long nowMillis) {
    for (RunningTask running : report.running()) {
      logContradiction(new RunKey(worker, running.task(), running.run()), "RUNNING", nowMillis);
    }
    ReadEnds earlier = readEnds.get(worker);
    long read =
        earlier != null && earlier.bornMillis() == report.bornMillis() ? earlier.number() : 0;
    long highest = read;
    StringJoiner ends = new StringJoiner(", ", "[", "]");
    for (EndedTask end : report.ended()) {
      if (end.number() > read) {
        highest = Math.max(highest, end.number());
        ends.add(end.number() + ":" + end.task() + '#' + end.run() + '=' + end.cause());
        if (end.cause() == EndCause.DONE || end.cause() == EndCause.FAILED) {
          logContradiction(
              new RunKey(worker, end.task(), end.run()), end.cause().name(), nowMillis);
        }
      }
    }
    if (highest > read) {
      readEnds.put(worker, new ReadEnds(report.bornMillis(), highest));
      LOG.info("event=runs_ended worker={} fence={} ends={}", worker, fence, ends);
    }
  }

  /** Writes once that a worker shows a run that was released without its end. */
  private void logContradiction(RunKey key, String shown, long nowMillis) {
    ReleasedRun run = releasedWithoutEnd.remove(key);
    if (run != null) {
      contradicted.labelValues(run.release().name()).inc();
      LOG.warn(
          "event=release_contradicted task={} run={} worker={} fence={} proof={} shown={}"
              + " released_ms={}",
          run.task(),
          run.number(),
          run.worker(),
          fence,
          run.release(),
          shown,
          nowMillis - run.releasedMillis());
    }
  }

  /** Writes up to which end a worker may forget its ends, if that has changed. */
  void holdSent(HoldOrder hold) {
    if (hold.acknowledgedEnd() == 0) {
      return;
    }
    Long earlier = acknowledgedEnds.put(hold.worker().id(), hold.acknowledgedEnd());
    if (hold.acknowledgedEnd() != (earlier == null ? 0 : earlier)) {
      LOG.info(
          "event=ends_acknowledged worker={} fence={} upto={}",
          hold.worker().id(),
          fence,
          hold.acknowledgedEnd());
    }
  }
}
