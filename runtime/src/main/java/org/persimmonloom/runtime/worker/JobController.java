package org.persimmonloom.runtime.worker;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobLeaseExpired;
import org.persimmonloom.core.job.WorkerSilent;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Runs jobs on the workers that this entry host owns.
 *
 * <p>A timer thread runs the ticks; worker visits run on a pool, at most one per worker at a time.
 * Each tick submits its proposals in one call, for which the group commit appends at most one
 * batch. 8 entry hosts at two ticks per second and one planner therefore make at most 18 appends
 * per second, independent of the number of workers. Record rate: at 4,200 workers with 4 tasks of
 * one hour each, 4.7 jobs/s with 4 records each, 14 renewals/s and 28 checkpoints/s make 61
 * records/s.
 */
@Singleton
public final class JobController {
  private static final Logger LOGGER = LogManager.getLogger(JobController.class);

  /** Half a second for each of five steps keeps the placement of urgent jobs within 8.7 s. */
  static final long TICK_MILLIS = 500;

  /** A worker that has not responded for this long gets no placements; tolerates a lost visit. */
  static final long SILENT_AFTER_MILLIS = 15_000;

  /**
   * 525 owned workers cause 105 calls per second of a few milliseconds each, which need few
   * threads.
   */
  private static final int VISIT_THREADS = 16;

  /** Workers whose last visit failed are visited by separate threads, to not delay other visits. */
  private static final int SUSPECT_THREADS = 4;

  private final ReplicatedState state;
  private final WorkerVisitor visitor;
  private final JobProposalBatcher outbox;
  private final PlacementController placements;
  private final InstantSource clock;
  private final WorkerVisitSchedule visitSchedule;
  private final Counter visits;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "job-controller"));
  private final ExecutorService pool =
      Executors.newFixedThreadPool(VISIT_THREADS, task -> daemon(task, "worker-visit"));
  private final ExecutorService suspectPool =
      Executors.newFixedThreadPool(SUSPECT_THREADS, task -> daemon(task, "worker-suspect"));
  private final Set<String> workersInVisit = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> failingSince = new ConcurrentHashMap<>();

  @Inject
  JobController(
      ReplicatedState state,
      WorkerVisitor visitor,
      JobProposalBatcher outbox,
      PlacementController placements,
      EntrySettings settings,
      InstantSource clock,
      PrometheusRegistry metrics) {
    this.state = state;
    this.visitor = visitor;
    this.outbox = outbox;
    this.placements = placements;
    this.clock = clock;
    this.visitSchedule = new WorkerVisitSchedule(settings.name());
    this.visits =
        Counter.builder()
            .name("persimmonloom_worker_visits_total")
            .help("Visits of workers, by result")
            .labelNames("result")
            .register(metrics);
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Starts visiting workers and planning placements. */
  public void start() {
    timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops the controller. Other entry hosts take over its workers; running tasks continue. */
  public void stop() {
    timer.shutdownNow();
    pool.shutdownNow();
    suspectPool.shutdownNow();
  }

  private void tick() {
    try {
      long nowMillis = clock.millis();
      state.read(fleet -> visitSchedule.selectDue(fleet, nowMillis)).forEach(this::dispatch);
      addExpiredLeases();
      outbox.flush();
      placements.planIfDue(visitSchedule.plannerRank(), nowMillis);
    } catch (RuntimeException e) {
      LOGGER.error("job controller tick failed", e);
    }
  }

  private void dispatch(WorkerVisitSchedule.Target target) {
    if (!workersInVisit.add(target.worker())) {
      return;
    }
    boolean isSuspect = failingSince.containsKey(target.worker());
    try {
      (isSuspect ? suspectPool : pool).execute(() -> visit(target));
    } catch (RejectedExecutionException e) {
      workersInVisit.remove(target.worker());
    }
  }

  private void visit(WorkerVisitSchedule.Target target) {
    try {
      outbox.add(target.worker(), visitor.visit(target.worker(), target.address()));
      failingSince.remove(target.worker());
      visits.labelValues("answered").inc();
    } catch (IOException e) {
      visits.labelValues("failed").inc();
      silenceProposal(target).ifPresent(proposal -> outbox.add(target.worker(), List.of(proposal)));
    } catch (RuntimeException e) {
      LOGGER.error("visit of worker {} failed", target.worker(), e);
    } finally {
      workersInVisit.remove(target.worker());
    }
  }

  private Optional<Proposal> silenceProposal(WorkerVisitSchedule.Target target) {
    String worker = target.worker();
    long nowMillis = clock.millis();
    long sinceMillis = failingSince.computeIfAbsent(worker, unused -> nowMillis);
    if (!target.isOwn() || nowMillis - sinceMillis < SILENT_AFTER_MILLIS) {
      return Optional.empty();
    }
    return state.read(
        fleet ->
            fleet
                .jobs()
                .worker(worker)
                .filter(record -> !record.isSilent())
                .map(record -> new WorkerSilent(worker, record.boot())));
  }

  private void addExpiredLeases() {
    List<Job> expired = new ArrayList<>(state.read(visitSchedule::jobsWithExpiredLease));
    for (Job job : expired) {
      String key = job.name() + '/' + job.live().number();
      outbox.add(key, List.of(new JobLeaseExpired(job.name(), job.live().number(), false)));
    }
  }
}
