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
 * Visits one worker: reads its report, then the fold, then acts on the difference. The order
 * matters: a start or renewal must rest on a clock reading that is older than the lease check. Safe
 * for any thread; blocks.
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
   * Returns what to propose.
   *
   * @throws IOException if the worker gave no report; failures of later calls are left to the next
   *     visit
   */
  List<Proposal> visit(String worker, String address) throws IOException {
    long observedOffset = state.nextOffset();
    WorkerReport report = client.tasks(address);
    long nowMillis = foldClock.nowMillis();
    WorkerVisit.FoldView view = state.read(fleet -> view(fleet, worker, observedOffset, nowMillis));
    VisitPlan plan = WorkerVisit.decide(view, report);
    List<Proposal> proposals = new ArrayList<>(plan.proposals());
    try {
      act(plan, address, report, proposals);
    } catch (IOException e) {
      LOGGER.debug("visit of {} cut short: {}", worker, e.getMessage());
    }
    proposals.removeIf(it -> it instanceof JobStopped stopped && !isStopping(view, stopped));
    proposals.addAll(state.read(fleet -> DrainEviction.evictions(fleet, worker, nowMillis)));
    return proposals;
  }

  /** The fold knows nothing of a stopped task that it did not own. */
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

  private void act(VisitPlan plan, String address, WorkerReport report, List<Proposal> proposals)
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

  /** A task that can't write a checkpoint is stopped all the same; it resumes from an older one. */
  private void checkpoint(
      String address, WorkerRenewed.Ref ref, WorkerReport report, List<Proposal> proposals) {
    try {
      TaskReport task = client.checkpoint(address, ref, report.boot());
      proposals.add(new JobCheckpointed(ref.job(), ref.attempt(), task.checkpoint()));
    } catch (IOException e) {
      LOGGER.debug("no checkpoint of {}: {}", ref, e.getMessage());
    }
  }
}
