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
 * Runs the jobs on this entry host's share of the workers.
 *
 * <p>One thread ticks; visits run on a pool, at most one per worker. Appends: a tick proposes all
 * it found in one call, and the group commit appends at most one batch per tick for it. 8 entry
 * hosts at two ticks a second and one planner make at most 18 appends a second, however many
 * workers there are. Records: at 4,200 workers with 4 tasks of one hour each, 4.7 jobs/s with 4
 * records each, 14 renewals/s and 28 checkpoints/s make 61 records/s.
 */
@Singleton
public final class JobController {
  private static final Logger LOGGER = LogManager.getLogger(JobController.class);

  /** Half a second at each of five steps leaves urgent work within its bound of 8.7 s. */
  static final long TICK_MILLIS = 500;

  /** A worker without an answer for so long gets no placements; one lost visit does not count. */
  static final long SILENT_AFTER_MILLIS = 15_000;

  /**
   * 525 own workers at 105 calls a period of 1 s, of a few milliseconds each, need a few threads.
   */
  private static final int VISIT_THREADS = 16;

  /** Workers that failed to answer have their own threads, so that they delay no other visit. */
  private static final int SUSPECT_THREADS = 4;

  private final ReplicatedState state;
  private final WorkerVisitor visitor;
  private final JobProposalBatcher outbox;
  private final PlacementController placements;
  private final InstantSource clock;
  private final WorkerVisitSchedule owned;
  private final Counter visits;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "job-controller"));
  private final ExecutorService pool =
      Executors.newFixedThreadPool(VISIT_THREADS, task -> daemon(task, "worker-visit"));
  private final ExecutorService suspects =
      Executors.newFixedThreadPool(SUSPECT_THREADS, task -> daemon(task, "worker-suspect"));
  private final Set<String> inVisit = ConcurrentHashMap.newKeySet();
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
    this.owned = new WorkerVisitSchedule(settings.name());
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

  /** Stops; the workers pass to the other entry hosts, and tasks keep running. */
  public void stop() {
    timer.shutdownNow();
    pool.shutdownNow();
    suspects.shutdownNow();
  }

  private void tick() {
    try {
      long nowMillis = clock.millis();
      state.read(fleet -> owned.due(fleet, nowMillis)).forEach(this::dispatch);
      proposeExpired();
      outbox.flush();
      placements.run(owned.plannerRank(), nowMillis);
    } catch (RuntimeException e) {
      LOGGER.error("tick of the job controller failed", e);
    }
  }

  private void dispatch(WorkerVisitSchedule.Target target) {
    if (!inVisit.add(target.worker())) {
      return;
    }
    boolean isSuspect = failingSince.containsKey(target.worker());
    try {
      (isSuspect ? suspects : pool).execute(() -> visit(target));
    } catch (RejectedExecutionException e) {
      inVisit.remove(target.worker());
    }
  }

  private void visit(WorkerVisitSchedule.Target target) {
    try {
      outbox.add(target.worker(), visitor.visit(target.worker(), target.address()));
      failingSince.remove(target.worker());
      visits.labelValues("answered").inc();
    } catch (IOException e) {
      visits.labelValues("failed").inc();
      silent(target).ifPresent(it -> outbox.add(target.worker(), List.of(it)));
    } catch (RuntimeException e) {
      LOGGER.error("visit of {} failed", target.worker(), e);
    } finally {
      inVisit.remove(target.worker());
    }
  }

  private Optional<Proposal> silent(WorkerVisitSchedule.Target target) {
    String worker = target.worker();
    long nowMillis = clock.millis();
    long since = failingSince.computeIfAbsent(worker, unused -> nowMillis);
    if (!target.isOwn() || nowMillis - since < SILENT_AFTER_MILLIS) {
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

  private void proposeExpired() {
    List<Job> expired = new ArrayList<>(state.read(owned::expired));
    for (Job job : expired) {
      String key = job.name() + '/' + job.live().number();
      outbox.add(key, List.of(new JobLeaseExpired(job.name(), job.live().number(), false)));
    }
  }
}
