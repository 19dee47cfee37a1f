package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.fold.Proposal;

/**
 * Compares a worker's report with the fold and decides what to do about each task. Pure.
 *
 * <p>The report must be taken before the fold is read: a start or renewal then rests on a reading
 * of the worker's clock that is older than the check of the lease.
 */
public final class WorkerVisit {
  /** Checkpoints are records of the log; at 4 tasks a worker, 4,200 workers make 28 a second. */
  static final long CHECKPOINT_INTERVAL_MILLIS = 10 * 60_000L;

  private final FoldView fold;
  private final WorkerReport report;
  private final List<Job> starts = new ArrayList<>();
  private final List<WorkerRenewed.Ref> renewals = new ArrayList<>();
  private final List<WorkerRenewed.Ref> checkpoints = new ArrayList<>();
  private final List<Job> throttles = new ArrayList<>();
  private final List<WorkerRenewed.Ref> stops = new ArrayList<>();
  private final List<Proposal> proposals = new ArrayList<>();

  /**
   * What the fold holds about the worker.
   *
   * @param record null if the worker was never registered
   * @param live the jobs with a live attempt at the worker
   * @param offset first offset that is not folded
   * @param observedOffset the same before the worker was asked
   * @param timeMillis fold time at {@code offset}
   * @param nowMillis what fold time is estimated to have reached by now
   */
  public record FoldView(
      String worker,
      WorkerRecord record,
      List<Job> live,
      long offset,
      long observedOffset,
      long timeMillis,
      long nowMillis) {
    public FoldView {
      live = List.copyOf(live);
    }
  }

  private WorkerVisit(FoldView fold, WorkerReport report) {
    this.fold = fold;
    this.report = report;
  }

  /** Returns what to do. */
  public static VisitPlan decide(FoldView fold, WorkerReport report) {
    return new WorkerVisit(fold, report).decide();
  }

  private VisitPlan decide() {
    Map<WorkerRenewed.Ref, TaskReport> tasks = new HashMap<>();
    report.tasks().forEach(it -> tasks.put(new WorkerRenewed.Ref(it.job(), it.attempt()), it));
    List<WorkerRenewed.Ref> running = new ArrayList<>();
    for (Job job : fold.live()) {
      WorkerRenewed.Ref ref = new WorkerRenewed.Ref(job.name(), job.live().number());
      TaskReport task = tasks.remove(ref);
      if (job.live().boot() != report.boot()) {
        continue;
      }
      if (task == null) {
        startOrStop(job, ref);
      } else if (task.state() == TaskState.RUNNING) {
        running.add(ref);
        follow(job, ref, task);
      } else {
        proposals.add(ending(job, task));
      }
    }
    tasks.forEach(this::stopUnowned);
    renewRecord(running);
    return new VisitPlan(starts, renewals, checkpoints, throttles, stops, proposals);
  }

  /** Only an attempt that is not known to have started is started again. */
  private void startOrStop(Job job, WorkerRenewed.Ref ref) {
    if (job.live().stop() != Attempt.Stop.NONE) {
      stops.add(ref);
    } else if (job.state() == JobState.PLACED && mayRenew(job)) {
      starts.add(job);
    }
  }

  private boolean mayRenew(Job job) {
    return LeaseRules.mayRenew(job.live(), fold.nowMillis());
  }

  private void follow(Job job, WorkerRenewed.Ref ref, TaskReport task) {
    if (job.state() == JobState.PLACED) {
      proposals.add(new JobStarted(ref.job(), ref.attempt()));
    }
    if (!task.checkpoint().isEmpty() && !task.checkpoint().equals(job.checkpoint())) {
      proposals.add(new JobCheckpointed(ref.job(), ref.attempt(), task.checkpoint()));
    }
    boolean resumes =
        job.live().stop() == Attempt.Stop.PREEMPT || job.live().stop() == Attempt.Stop.DRAIN;
    if (resumes) {
      checkpoints.add(ref);
    }
    if (job.live().stop() != Attempt.Stop.NONE) {
      stops.add(ref);
      return;
    }
    if (mayRenew(job)) {
      renewals.add(ref);
    }
    if (job.spec().isRepeatable() && task.checkpointAgeMillis() >= CHECKPOINT_INTERVAL_MILLIS) {
      checkpoints.add(ref);
    }
    if (task.throttlePercent() != job.live().throttlePercent()) {
      throttles.add(job);
    }
  }

  private static Proposal ending(Job job, TaskReport task) {
    String name = task.job();
    int attempt = task.attempt();
    return switch (task.state()) {
      case FINISHED ->
          new JobFinished(name, attempt, task.runMillis(), task.usedCores(), task.peakMemoryMb());
      case FAILED -> new JobFailed(name, attempt, FailureCause.ERROR, task.detail());
      case OUT_OF_MEMORY -> new JobFailed(name, attempt, FailureCause.OUT_OF_MEMORY, task.detail());
      case REFUSED -> new JobFailed(name, attempt, FailureCause.NOT_STARTED, task.detail());
      case STOPPED ->
          job.live().stop() != Attempt.Stop.NONE
              ? new JobStopped(name, attempt)
              : new JobLeaseExpired(name, attempt, true);
      default -> new JobLeaseExpired(name, attempt, true);
    };
  }

  /** A task that was placed at an offset not folded here may be owned. */
  private void stopUnowned(WorkerRenewed.Ref ref, TaskReport task) {
    if (task.state() == TaskState.RUNNING && task.placedOffset() < fold.offset()) {
      stops.add(ref);
    }
  }

  private void renewRecord(List<WorkerRenewed.Ref> running) {
    WorkerRecord record = fold.record();
    boolean isNews = record == null || record.isSilent() || record.boot() < report.boot();
    boolean isDue =
        !running.isEmpty()
            && record != null
            && fold.timeMillis() - record.renewedMillis()
                >= LeaseRules.FOLD_RENEWAL_INTERVAL_MILLIS;
    if (isNews || isDue) {
      proposals.add(
          0, new WorkerRenewed(fold.worker(), report.boot(), fold.observedOffset(), running));
    }
  }
}
