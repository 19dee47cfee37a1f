package org.persimmonloom.core.job;

import io.vavr.control.Either;
import java.util.function.BiFunction;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Applies the records that change attempts after their placement.
 *
 * <p>Each record names its attempt and is rejected with {@link ResultCode#LEASE_STALE} unless that
 * attempt is live. Progress records are also rejected after the fold's lease has expired, because
 * their author was paused beyond it. The end of an attempt is accepted as long as the attempt is
 * live: a late report is still true, and rejecting it would repeat work. Confined to the fold
 * thread.
 */
final class JobEvents {
  /** Maximum preemptions of one job; it then runs to completion, so that long jobs finish. */
  static final int MAX_PREEMPTIONS = 2;

  /** Number of distinct healthy workers on which a job fails before it is parked. */
  static final int MAX_FAILED_WORKERS = 3;

  /**
   * Failures of any cause before a job is parked. Bounds the retries of a job whose attempts all
   * run on unhealthy workers, where failures do not count against the job.
   */
  static final int MAX_FAILURES = 10;

  /**
   * Out-of-memory kills before a job is parked. The reservation doubles after each, so three
   * doublings cover a declared size that is too low by a factor of 8.
   */
  static final int MAX_MEMORY_KILLS = 4;

  private final JobStore store;
  private final JobEstimates estimates;
  private final JobEnvironment environment;

  JobEvents(JobStore store, JobEstimates estimates, JobEnvironment environment) {
    this.store = store;
    this.environment = environment;
    this.estimates = estimates;
  }

  void registerHandlers(ProposalRegistry registry) {
    registry.register(
        JobStarted.class,
        (record, at) -> applyProgress(record.job(), record.attempt(), at, this::afterStart));
    registry.register(
        JobCheckpointed.class,
        (record, at) ->
            applyProgress(
                record.job(),
                record.attempt(),
                at,
                (job, pos) -> job.withCheckpoint(record.checkpoint())));
    registry.register(JobThrottled.class, this::throttle);
    registry.register(JobPreempted.class, this::preempt);
    registry.register(JobEvicted.class, this::evict);
    registry.register(
        JobStopped.class,
        (record, at) -> applyEnd(record.job(), record.attempt(), at, this::afterStop));
    registry.register(
        JobFinished.class,
        (record, at) ->
            applyEnd(
                record.job(), record.attempt(), at, (job, pos) -> afterSuccess(job, record, pos)));
    registry.register(
        JobFailed.class,
        (record, at) ->
            applyEnd(
                record.job(), record.attempt(), at, (job, pos) -> afterFailure(job, record, pos)));
    registry.register(JobLeaseExpired.class, this::expire);
    registry.register(JobCancelled.class, this::cancel);
    registry.register(JobParked.class, this::park);
    registry.register(JobReleased.class, this::release);
  }

  private Either<Failure, String> applyProgress(
      String name, int attempt, Position at, BiFunction<Job, Position, Job> change) {
    Job job = store.find(name);
    if (job == null || !job.isLive(attempt) || at.timeMillis() >= job.live().leaseUntilMillis()) {
      return staleLease(name, attempt);
    }
    store.put(change.apply(job, at));
    return Either.right("attempt " + attempt);
  }

  private Either<Failure, String> applyEnd(
      String name, int attempt, Position at, BiFunction<Job, Position, Job> change) {
    Job job = store.find(name);
    if (job == null || !job.isLive(attempt)) {
      return staleLease(name, attempt);
    }
    Job next = change.apply(job, at);
    if (next == job) {
      return Either.left(Failure.of(ResultCode.JOB_STATE_CONFLICT, name, job.state()));
    }
    store.put(next);
    return Either.right(next.state() + (next.reason().isEmpty() ? "" : ": " + next.reason()));
  }

  private static Either<Failure, String> staleLease(String name, int attempt) {
    return Either.left(Failure.of(ResultCode.LEASE_STALE, name, attempt));
  }

  private Job afterStart(Job job, Position at) {
    return job.state() == JobState.RUNNING
        ? job
        : job.withLive(JobState.RUNNING, job.live().withStarted(at.timeMillis()), at.timeMillis());
  }

  private Either<Failure, String> throttle(JobThrottled throttled, Position position) {
    if (throttled.percent() < 1 || throttled.percent() > 100) {
      return Either.left(
          Failure.of(ResultCode.JOB_INVALID, throttled.job(), "percent must be from 1 to 100"));
    }
    return applyProgress(
        throttled.job(),
        throttled.attempt(),
        position,
        (job, at) ->
            job.withLive(
                job.state(), job.live().withThrottle(throttled.percent()), at.timeMillis()));
  }

  private Either<Failure, String> preempt(JobPreempted preempted, Position position) {
    Job job = store.find(preempted.job());
    Job urgent = store.find(preempted.forJob());
    if (job == null || !job.isLive(preempted.attempt())) {
      return staleLease(preempted.job(), preempted.attempt());
    }
    if (!isPreemptible(job)) {
      return Either.left(
          Failure.of(ResultCode.JOB_STATE_CONFLICT, job.name(), "not preemptible: " + job.state()));
    }
    if (urgent == null || urgent.state() != JobState.QUEUED || !urgent.spec().isUrgent()) {
      return Either.left(
          Failure.of(ResultCode.JOB_STATE_CONFLICT, preempted.forJob(), "not queued and urgent"));
    }
    Attempt stopping = job.live().withStop(Attempt.Stop.PREEMPT, preempted.forJob());
    store.put(
        job.withLive(job.state(), stopping, position.timeMillis())
            .withHistory(job.history().preempted()));
    return Either.right("stops for " + preempted.forJob());
  }

  static boolean isPreemptible(Job job) {
    return job.state() == JobState.RUNNING
        && job.live().stop() == Attempt.Stop.NONE
        && job.spec().isRepeatable()
        && !job.spec().isUrgent()
        && job.history().preemptions() < MAX_PREEMPTIONS;
  }

  private Either<Failure, String> evict(JobEvicted evicted, Position position) {
    Job job = store.find(evicted.job());
    if (job == null || !job.isLive(evicted.attempt())) {
      return staleLease(evicted.job(), evicted.attempt());
    }
    String worker = job.live().worker();
    boolean isDraining =
        environment
            .host(worker)
            .filter(host -> host.state() == HostState.DRAINING)
            .filter(host -> host.drain().offset() == evicted.drainOffset())
            .isPresent();
    if (!isDraining) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT, worker, "not in drain " + evicted.drainOffset()));
    }
    if (!isEvictable(job)) {
      return Either.left(
          Failure.of(
              ResultCode.JOB_STATE_CONFLICT,
              job.name(),
              job.spec().isRepeatable() ? "stopping already" : "not repeatable"));
    }
    store.put(
        job.withLive(
            job.state(), job.live().withStop(Attempt.Stop.DRAIN, ""), position.timeMillis()));
    return Either.right("stops for the drain of " + worker);
  }

  static boolean isEvictable(Job job) {
    return job.spec().isRepeatable() && job.live().stop() == Attempt.Stop.NONE;
  }

  /** Returns {@code job} itself, which the caller rejects, if no stop of it was requested. */
  private Job afterStop(Job job, Position at) {
    return switch (job.live().stop()) {
      case NONE -> job;
      case CANCEL -> job.withoutLive(JobState.CANCELLED, job.reason(), at.timeMillis());
      case PREEMPT ->
          job.withoutLive(
              JobState.QUEUED, "preempted for " + job.live().stoppedFor(), at.timeMillis());
      case DRAIN ->
          job.withoutLive(
              JobState.QUEUED, "stopped for the drain of " + job.live().worker(), at.timeMillis());
    };
  }

  private Job afterSuccess(Job job, JobFinished finished, Position at) {
    String worker = job.live().worker();
    estimates.observe(
        job.spec(),
        new JobEstimates.Sample(
            finished.runMillis(), finished.usedCores(), finished.peakMemoryMb()),
        at.offset());
    WorkerRecord workerRecord = store.worker(worker);
    boolean isTest =
        workerRecord.isQuarantined()
            && job.live().placedMillis() >= workerRecord.quarantinedMillis();
    store.putWorker(workerRecord.succeeded(isTest));
    for (String failed : job.history().failedWorkers()) {
      if (!failed.equals(worker)) {
        store.putWorker(store.worker(failed).withCharge(job.name()));
      }
    }
    return job.withoutLive(JobState.FINISHED, "", at.timeMillis());
  }

  private Job afterFailure(Job job, JobFailed failed, Position at) {
    long now = at.timeMillis();
    WorkerRecord worker = store.worker(job.live().worker());
    Job next;
    if (failed.cause() == FailureCause.OUT_OF_MEMORY) {
      next =
          job.withHistory(job.history().killedForMemory())
              .withMemoryFloor(job.live().size().memoryMb() * 2);
    } else {
      boolean countsAgainstJob = failed.cause() == FailureCause.ERROR && worker.isHealthy();
      next =
          job.withHistory(
              countsAgainstJob ? job.history().failedOn(worker.worker()) : job.history().failed());
      store.putWorker(worker.failed(now));
    }
    if (job.live().stop() == Attempt.Stop.CANCEL) {
      return next.withoutLive(JobState.CANCELLED, job.reason(), now);
    }
    if (!job.spec().isRepeatable() && failed.cause() != FailureCause.NOT_STARTED) {
      return next.withoutLive(JobState.FAILED, failed.detail(), now);
    }
    return requeueOrPark(next, failed, now);
  }

  private static Job requeueOrPark(Job job, JobFailed failed, long nowMillis) {
    JobHistory history = job.history();
    String last = "; last: " + failed.cause() + " " + failed.detail();
    if (history.failedWorkers().size() >= MAX_FAILED_WORKERS) {
      String reason = "failed on healthy workers " + history.failedWorkers() + last;
      return job.withoutLive(JobState.PARKED, reason, nowMillis);
    }
    if (history.memoryKills() >= MAX_MEMORY_KILLS) {
      String reason = "killed for memory " + history.memoryKills() + " times" + last;
      return job.withoutLive(JobState.PARKED, reason, nowMillis);
    }
    if (history.failures() >= MAX_FAILURES) {
      String reason = "failed " + history.failures() + " times" + last;
      return job.withoutLive(JobState.PARKED, reason, nowMillis);
    }
    return job.withoutLive(JobState.QUEUED, "retry" + last, nowMillis);
  }

  private Either<Failure, String> expire(JobLeaseExpired expired, Position position) {
    Job job = store.find(expired.job());
    if (job == null || !job.isLive(expired.attempt())) {
      return staleLease(expired.job(), expired.attempt());
    }
    if (!expired.isConfirmed()
        && !LeaseRules.isCertainlyExpired(job.live(), position.timeMillis())) {
      long untilMillis = job.live().leaseUntilMillis() + LeaseRules.EXPIRY_MARGIN_MILLIS;
      return Either.left(
          Failure.of(
              ResultCode.JOB_STATE_CONFLICT,
              job.name(),
              "leased until " + untilMillis + " at " + job.live().worker()));
    }
    Job next = afterLoss(job, "lease expired at " + job.live().worker(), position.timeMillis());
    store.put(next);
    return Either.right(next.state().toString());
  }

  /**
   * Returns the job after its attempt was lost. An attempt that was only placed counts as possibly
   * started, because any entry host may have sent the start.
   */
  static Job afterLoss(Job job, String reason, long nowMillis) {
    if (job.live().stop() == Attempt.Stop.CANCEL) {
      return job.withoutLive(JobState.CANCELLED, job.reason() + "; " + reason, nowMillis);
    }
    return job.withoutLive(
        job.spec().isRepeatable() ? JobState.QUEUED : JobState.OUTCOME_UNKNOWN, reason, nowMillis);
  }

  private Either<Failure, String> cancel(JobCancelled cancelled, Position position) {
    Job job = store.find(cancelled.job());
    if (job == null) {
      return Either.left(Failure.of(ResultCode.JOB_UNKNOWN, cancelled.job()));
    }
    String reason = "cancelled by " + cancelled.operator();
    boolean isCancelled =
        job.state() == JobState.CANCELLED
            || (job.live() != null && job.live().stop() == Attempt.Stop.CANCEL);
    if (isCancelled) {
      return Either.left(Failure.of(ResultCode.ALREADY_APPLIED, job.reason()));
    }
    if (job.state().isEnded()) {
      return Either.left(Failure.of(ResultCode.JOB_STATE_CONFLICT, job.name(), job.state()));
    }
    if (job.live() == null) {
      store.put(job.withoutLive(JobState.CANCELLED, reason, position.timeMillis()));
      return Either.right("cancelled");
    }
    Attempt stopping = job.live().withStop(Attempt.Stop.CANCEL, "");
    store.put(job.withLive(job.state(), stopping, position.timeMillis()).withReason(reason));
    return Either.right("stopping attempt " + stopping.number() + " at " + stopping.worker());
  }

  private Either<Failure, String> park(JobParked parked, Position position) {
    Job job = store.find(parked.job());
    if (job == null) {
      return Either.left(Failure.of(ResultCode.JOB_UNKNOWN, parked.job()));
    }
    if (job.state() != JobState.QUEUED) {
      return Either.left(Failure.of(ResultCode.JOB_STATE_CONFLICT, job.name(), job.state()));
    }
    store.put(job.withoutLive(JobState.PARKED, parked.reason(), position.timeMillis()));
    return Either.right(parked.reason());
  }

  private Either<Failure, String> release(JobReleased released, Position position) {
    Job job = store.find(released.job());
    if (job == null) {
      return Either.left(Failure.of(ResultCode.JOB_UNKNOWN, released.job()));
    }
    if (job.state() != JobState.PARKED) {
      return Either.left(Failure.of(ResultCode.JOB_STATE_CONFLICT, job.name(), job.state()));
    }
    store.put(job.released(position.timeMillis()));
    return Either.right("queued by " + released.operator());
  }
}
