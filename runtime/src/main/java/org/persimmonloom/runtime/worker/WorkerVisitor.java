package org.persimmonloom.runtime.worker;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import javax.inject.Inject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.job.Attempt;
import org.persimmonloom.core.job.DrainEviction;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobCheckpointed;
import org.persimmonloom.core.job.JobStarted;
import org.persimmonloom.core.job.JobStopped;
import org.persimmonloom.core.job.TaskReport;
import org.persimmonloom.core.job.TaskState;
import org.persimmonloom.core.job.VisitPlan;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.job.WorkerReport;
import org.persimmonloom.core.job.WorkerVisit;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * Visits one worker: reads its report, compares the report with the fold, and calls the worker to
 * reconcile the two. The report must be read before the fold, because a start or renewal must use a
 * clock reading that is older than the lease check. Thread-safe; methods block.
 */
final class WorkerVisitor {
  private static final Logger LOGGER = LogManager.getLogger(WorkerVisitor.class);

  private final WorkerClient client;
  private final ReplicatedState state;
  private final FoldClock foldClock;

  @Inject
  WorkerVisitor(WorkerClient client, ReplicatedState state, FoldClock foldClock) {
    this.client = client;
    this.state = state;
    this.foldClock = foldClock;
  }

  /**
   * Visits the worker and returns the proposals that result.
   *
   * @throws IOException if the report can't be read. Failures of later calls are not thrown; the
   *     next visit repeats the calls
   */
  List<Proposal> visit(String worker, String address) throws IOException {
    long observedOffset = state.nextOffset();
    WorkerReport report = client.readReport(address);
    long nowMillis = foldClock.nowMillis();
    WorkerVisit.FoldView view = state.read(fleet -> view(fleet, worker, observedOffset, nowMillis));
    VisitPlan plan = WorkerVisit.decide(view, report);
    List<Proposal> proposals = new ArrayList<>(plan.proposals());
    try {
      executePlan(plan, address, report, proposals);
    } catch (IOException e) {
      LOGGER.debug("visit of worker {} ended early: {}", worker, e.getMessage());
    }
    proposals.removeIf(
        proposal -> proposal instanceof JobStopped stopped && !isStopping(view, stopped));
    proposals.addAll(state.read(fleet -> DrainEviction.evictions(fleet, worker, nowMillis)));
    return proposals;
  }

  /** Returns whether the fold has a live attempt for the stopped task and requested the stop. */
  private static boolean isStopping(WorkerVisit.FoldView view, JobStopped stopped) {
    return view.live().stream()
        .anyMatch(
            job ->
                job.name().equals(stopped.job())
                    && job.isLive(stopped.attempt())
                    && job.live().stop() != Attempt.Stop.NONE);
  }

  private static WorkerVisit.FoldView view(
      FleetState fleet, String worker, long observedOffset, long nowMillis) {
    return new WorkerVisit.FoldView(
        worker,
        fleet.jobs().worker(worker).orElse(null),
        fleet.jobs().liveAt(worker),
        fleet.nextOffset(),
        observedOffset,
        fleet.timeMillis(),
        nowMillis);
  }

  private void executePlan(
      VisitPlan plan, String address, WorkerReport report, List<Proposal> proposals)
      throws IOException {
    if (!plan.renewals().isEmpty()) {
      client.renew(address, plan.renewals(), report);
    }
    for (Job job : plan.starts()) {
      TaskReport task = client.start(address, job, report);
      if (task.state() == TaskState.RUNNING) {
        proposals.add(new JobStarted(job.name(), job.live().number()));
      }
    }
    for (WorkerRenewed.Ref ref : plan.checkpoints()) {
      checkpoint(address, ref, report, proposals);
    }
    for (Job job : plan.throttles()) {
      WorkerRenewed.Ref ref = new WorkerRenewed.Ref(job.name(), job.live().number());
      client.throttle(address, ref, report.boot(), job.live().throttlePercent());
    }
    for (WorkerRenewed.Ref ref : plan.stops()) {
      TaskReport task = client.stop(address, ref, report.boot());
      if (task.state() == TaskState.STOPPED) {
        proposals.add(new JobStopped(ref.job(), ref.attempt()));
      }
    }
  }

  /**
   * Requests a checkpoint. A failure does not prevent the stop of the task: the job then resumes
   * from an older checkpoint.
   */
  private void checkpoint(
      String address, WorkerRenewed.Ref ref, WorkerReport report, List<Proposal> proposals) {
    try {
      TaskReport task = client.checkpoint(address, ref, report.boot());
      proposals.add(new JobCheckpointed(ref.job(), ref.attempt(), task.checkpoint()));
    } catch (IOException e) {
      LOGGER.debug("checkpoint of {} failed: {}", ref, e.getMessage());
    }
  }
}
