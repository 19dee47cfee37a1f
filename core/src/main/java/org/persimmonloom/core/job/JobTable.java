package org.persimmonloom.core.job;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.claim.RequestKey;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.release.TeamDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The jobs, their live attempts, and the health of the workers.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An attempt number of a job is never reused.
 *   <li>A job has at most one live attempt.
 *   <li>When an attempt is placed, the live attempts of its worker fit the capacity of the worker,
 *       and those of its team fit the quota of the team.
 *   <li>A job is placed again only after its previous attempt ended or the lease of that attempt
 *       has certainly expired at the worker.
 *   <li>An ended job is kept for longer than its identifier is accepted, so a repeated submission
 *       cannot run the job again.
 * </ul>
 *
 * <p>Confined to the fold thread.
 */
public final class JobTable implements ReplicatedTable<JobTable.Snapshot> {
  /** How long after the time in its identifier a job can be submitted, in milliseconds. */
  public static final long SUBMIT_WINDOW_MILLIS = 60 * 60_000L;

  /** Maximum lead of the time in an identifier over fold time, in milliseconds. */
  static final long MAX_AHEAD_MILLIS = 60_000;

  /** Maximum number of jobs that have not ended. Bounds memory; each takes about 1 KiB. */
  static final int MAX_OPEN_JOBS = 50_000;

  private final JobStore store = new JobStore();
  private final JobEstimates estimates = new JobEstimates();
  private final JobEnvironment environment;
  private final JobEvents events;
  private final WorkerEvents workerEvents;

  /** The content of the table. The indices and sums are derived from it and not included. */
  public record Snapshot(
      List<Job> jobs, List<WorkerRecord> workers, List<JobEstimates.Kind> estimates) {
    public Snapshot {
      jobs = List.copyOf(jobs);
      workers = List.copyOf(workers);
      estimates = List.copyOf(estimates);
    }
  }

  /** Creates an empty table. */
  public JobTable(JobEnvironment environment) {
    this.environment = environment;
    this.events = new JobEvents(store, estimates, environment);
    this.workerEvents = new WorkerEvents(store, environment);
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(JobSubmitted.class, this::submit);
    registry.register(JobPlaced.class, this::place);
    events.registerHandlers(registry);
    workerEvents.registerHandlers(registry);
  }

  private Either<Failure, String> submit(JobSubmitted submitted, Position position) {
    JobSpec spec = submitted.spec();
    Job existing = store.find(spec.job());
    if (existing != null) {
      return Either.left(
          existing.spec().equals(spec)
              ? Failure.of(ResultCode.ALREADY_APPLIED, spec.job() + " is " + existing.state())
              : Failure.of(ResultCode.JOB_INVALID, spec.job(), "submitted with other content"));
    }
    Optional<Failure> refusal = checkSpec(spec, position.timeMillis());
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    store.put(Job.submitted(spec, position.timeMillis()));
    return Either.right("queued");
  }

  private Optional<Failure> checkSpec(JobSpec spec, long nowMillis) {
    Either<Failure, RequestKey> key = RequestKey.parse(spec.job());
    if (key.isLeft()) {
      return Optional.of(
          invalid(spec, "the identifier must be <unix millis>-<8 to 64 characters>"));
    }
    long createdMillis = key.get().createdMillis();
    if (createdMillis < nowMillis - SUBMIT_WINDOW_MILLIS
        || createdMillis > nowMillis + MAX_AHEAD_MILLIS) {
      return Optional.of(invalid(spec, "the time in the identifier is outside the submit window"));
    }
    if (store.openCount() >= MAX_OPEN_JOBS) {
      return Optional.of(Failure.of(ResultCode.QUEUE_FULL, "jobs", MAX_OPEN_JOBS));
    }
    Optional<Failure> service = checkService(spec);
    return service.isPresent() ? service : checkSize(spec);
  }

  private Optional<Failure> checkService(JobSpec spec) {
    Optional<ServiceDefinition> service = environment.service(spec.service());
    if (service.isEmpty()) {
      return Optional.of(Failure.of(ResultCode.SERVICE_UNKNOWN, spec.service()));
    }
    return service.get().workers().isEmpty()
        ? Optional.of(invalid(spec, "service " + spec.service() + " has no pool of workers"))
        : Optional.empty();
  }

  private Optional<Failure> checkSize(JobSpec spec) {
    JobSize size = spec.size();
    if (size.cores() < 1
        || size.memoryMb() < 1
        || size.accelerators() < 0
        || spec.declaredRunMillis() < 1) {
      return Optional.of(invalid(spec, "cores, memory and run time must be positive"));
    }
    Optional<TeamDefinition> team = environment.team(spec.team());
    if (team.isEmpty()) {
      return Optional.of(Failure.of(ResultCode.TEAM_UNKNOWN, spec.team()));
    }
    return size.fitsIn(quota(team.get()))
        ? Optional.empty()
        : Optional.of(
            Failure.of(ResultCode.QUOTA_EXCEEDED, spec.team(), quota(team.get()).toString()));
  }

  private static Failure invalid(JobSpec spec, String reason) {
    return Failure.of(ResultCode.JOB_INVALID, spec.job(), reason);
  }

  /** Returns the total resources that the live attempts of a team may reserve. */
  public static JobSize quota(TeamDefinition team) {
    return new JobSize(team.cores(), team.memoryMb(), team.accelerators());
  }

  private Either<Failure, String> place(JobPlaced placed, Position position) {
    Job job = store.find(placed.job());
    if (job == null) {
      return Either.left(Failure.of(ResultCode.JOB_UNKNOWN, placed.job()));
    }
    if (job.state() != JobState.QUEUED) {
      return Either.left(Failure.of(ResultCode.JOB_STATE_CONFLICT, placed.job(), job.state()));
    }
    if (placed.attempt() != job.history().attempts() + 1) {
      return Either.left(Failure.of(ResultCode.LEASE_STALE, placed.job(), placed.attempt()));
    }
    Optional<Failure> refusal = PlacementCheck.refusal(store, environment, job, placed, position);
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    WorkerRecord worker = store.worker(placed.worker());
    long leaseUntilMillis = position.timeMillis() + LeaseRules.FOLD_LEASE_MILLIS;
    store.put(
        job.withPlacement(
            new Attempt(
                placed.attempt(),
                placed.worker(),
                worker.boot(),
                placed.size(),
                position.timeMillis(),
                position.offset(),
                0,
                leaseUntilMillis,
                Attempt.Stop.NONE,
                "",
                100)));
    store.putWorker(worker.withTakenOffset(position.offset()));
    return Either.right("attempt " + placed.attempt() + " at " + placed.worker());
  }

  @Override
  public void advance(long foldTimeMillis) {
    store.discardEndedBefore(foldTimeMillis - SUBMIT_WINDOW_MILLIS - MAX_AHEAD_MILLIS);
  }

  /** Returns the job with this identifier. */
  public Optional<Job> find(String job) {
    return Optional.ofNullable(store.find(job));
  }

  /** Returns an unmodifiable view of all jobs, sorted by identifier. */
  public Collection<Job> jobs() {
    return Collections.unmodifiableCollection(store.jobs());
  }

  /** Returns the queued jobs, sorted by identifier. */
  public List<Job> queued() {
    return store.queued().stream().map(store::find).toList();
  }

  /** Returns the jobs with a live attempt at the worker, sorted by identifier. */
  public List<Job> liveAt(String worker) {
    return store.liveAt(worker);
  }

  /** Returns the record of a worker, or empty if it was never registered. */
  public Optional<WorkerRecord> worker(String name) {
    return Optional.ofNullable(store.worker(name));
  }

  /** Returns an unmodifiable view of all workers ever registered, sorted by name. */
  public Collection<WorkerRecord> workers() {
    return Collections.unmodifiableCollection(store.workers());
  }

  /** Returns the resources reserved by the live attempts at a worker. */
  public JobSize usedByWorker(String worker) {
    return store.usedByWorker(worker);
  }

  /** Returns the resources reserved by the live attempts of a team. */
  public JobSize usedByTeam(String team) {
    return store.usedByTeam(team);
  }

  /** Returns the estimates of run time and resource use by kind of job. */
  public JobEstimates estimates() {
    return estimates;
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(
        List.copyOf(store.jobs()), List.copyOf(store.workers()), estimates.snapshot());
  }

  @Override
  public void restore(Snapshot snapshot) {
    store.clear();
    snapshot.jobs().forEach(store::put);
    snapshot.workers().forEach(store::putWorker);
    estimates.restore(snapshot.estimates());
  }
}
