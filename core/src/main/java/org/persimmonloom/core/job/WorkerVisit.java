package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.fold.Proposal;

/**
 * Reconciles a worker's report with the fold and decides on the action for each task. Pure.
 *
 * <p>The report must be obtained before the fold is read. A start or renewal is then based on a
 * reading of the worker's clock that is older than the check of the lease.
 */
public final class WorkerVisit {
  /**
   * Interval between checkpoints of a task. Each checkpoint is a record in the log: 4,200 workers
   * with 4 tasks each make 28 records/s.
   */
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
   * The state of the worker in the fold.
   *
   * @param record state of the worker; null if it was never registered
   * @param live jobs with a live attempt at the worker
   * @param offset first log offset that is not folded
   * @param observedOffset value of {@code offset} before the worker's report was requested
   * @param timeMillis fold time at {@code offset}
   * @param nowMillis estimate of the current fold time
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

  /** Returns the actions for the worker. */
  public static VisitPlan decide(FoldView fold, WorkerReport report) {
    return new WorkerVisit(fold, report).decide();
  }

  private VisitPlan decide() {
    Map<WorkerRenewed.Ref, TaskReport> tasks = new HashMap<>();
    for (TaskReport task : report.tasks()) {
      tasks.put(new WorkerRenewed.Ref(task.job(), task.attempt()), task);
    }
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
        reconcileRunning(job, ref, task);
      } else {
        proposals.add(endProposal(job, task));
      }
    }
    tasks.forEach(this::stopOrphan);
    proposeRenewal(running);
    return new VisitPlan(starts, renewals, checkpoints, throttles, stops, proposals);
  }

  /**
   * Handles an attempt that the worker does not report. A start is sent only if the attempt is not
   * known to have started.
   */
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

  private void reconcileRunning(Job job, WorkerRenewed.Ref ref, TaskReport task) {
    if (job.state() == JobState.PLACED) {
      proposals.add(new JobStarted(ref.job(), ref.attempt()));
    }
    if (!task.checkpoint().isEmpty() && !task.checkpoint().equals(job.checkpoint())) {
      proposals.add(new JobCheckpointed(ref.job(), ref.attempt(), task.checkpoint()));
    }
    boolean willResume =
        job.live().stop() == Attempt.Stop.PREEMPT || job.live().stop() == Attempt.Stop.DRAIN;
    if (willResume) {
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

  private static Proposal endProposal(Job job, TaskReport task) {
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

  /**
   * Stops a running task without a live attempt in the fold, unless it was placed at an offset that
   * is not folded here yet.
   */
  private void stopOrphan(WorkerRenewed.Ref ref, TaskReport task) {
    if (task.state() == TaskState.RUNNING && task.placedOffset() < fold.offset()) {
      stops.add(ref);
    }
  }

  private void proposeRenewal(List<WorkerRenewed.Ref> running) {
    WorkerRecord record = fold.record();
    boolean needsRegistration =
        record == null || record.isSilent() || record.boot() < report.boot();
    boolean isRenewalDue =
        !running.isEmpty()
            && record != null
            && fold.timeMillis() - record.renewedMillis()
                >= LeaseRules.FOLD_RENEWAL_INTERVAL_MILLIS;
    if (needsRegistration || isRenewalDue) {
      proposals.add(
          0, new WorkerRenewed(fold.worker(), report.boot(), fold.observedOffset(), running));
    }
  }
}
