package org.persimmonloom.core.job;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Applies the records that concern a whole worker. Confined to the fold thread. */
final class WorkerEvents {
  /**
   * Number of jobs that failed at a worker and succeeded elsewhere before it may be quarantined.
   */
  static final int MIN_CHARGES = 3;

  /** At most one of this many workers of a pool is quarantined at the same time. */
  static final int QUARANTINE_DIVISOR = 4;

  private final JobStore store;
  private final JobEnvironment environment;

  WorkerEvents(JobStore store, JobEnvironment environment) {
    this.store = store;
    this.environment = environment;
  }

  void registerHandlers(ProposalRegistry registry) {
    registry.register(WorkerRenewed.class, this::applyRenewal);
    registry.register(WorkerSilent.class, this::applySilence);
    registry.register(WorkerQuarantined.class, this::applyQuarantine);
  }

  private Either<Failure, String> applyRenewal(WorkerRenewed renewed, Position position) {
    if (environment.host(renewed.worker()).isEmpty()) {
      return Either.left(Failure.of(ResultCode.HOST_UNKNOWN, renewed.worker()));
    }
    WorkerRecord existing = store.worker(renewed.worker());
    long now = position.timeMillis();
    if (existing == null) {
      store.putWorker(WorkerRecord.registered(renewed.worker(), renewed.boot(), now));
      return Either.right("registered");
    }
    if (renewed.boot() < existing.boot()) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT, renewed.worker(), "at boot " + existing.boot()));
    }
    if (existing.isSilent() && renewed.observedOffset() <= existing.silentOffset()) {
      return Either.left(
          Failure.of(
              ResultCode.PLAN_STALE,
              renewed.observedOffset(),
              renewed.worker(),
              existing.silentOffset()));
    }
    if (renewed.boot() > existing.boot()) {
      store.putWorker(existing.renewed(renewed.boot(), now));
      return Either.right(endEarlierBoots(renewed, now) + " attempts ended by a reboot");
    }
    return extendLeases(renewed, existing, now);
  }

  /**
   * Ends the attempts of earlier boots at once, because a task does not survive a reboot. Returns
   * their number.
   */
  private int endEarlierBoots(WorkerRenewed renewed, long nowMillis) {
    int lost = 0;
    for (Job job : store.liveAt(renewed.worker())) {
      if (job.live().boot() < renewed.boot()) {
        store.put(JobEvents.afterLoss(job, renewed.worker() + " rebooted", nowMillis));
        lost++;
      }
    }
    return lost;
  }

  private Either<Failure, String> extendLeases(
      WorkerRenewed renewed, WorkerRecord existing, long now) {
    List<Job> leased =
        renewed.attempts().stream().map(ref -> leasedJob(ref, renewed, now)).toList();
    List<Job> extended = leased.stream().filter(Objects::nonNull).toList();
    if (extended.isEmpty() && !leased.isEmpty() && !existing.isSilent()) {
      WorkerRenewed.Ref first = renewed.attempts().get(0);
      return Either.left(Failure.of(ResultCode.LEASE_STALE, first.job(), first.attempt()));
    }
    store.putWorker(existing.renewed(renewed.boot(), now));
    for (Job job : extended) {
      Attempt attempt = job.live().withLeaseUntil(now + LeaseRules.FOLD_LEASE_MILLIS);
      store.put(job.withLive(job.state(), attempt, now));
    }
    return Either.right(extended.size() + " leases extended");
  }

  /**
   * Returns the job if the attempt is live at this worker and its lease has not expired, or null
   * otherwise.
   */
  private Job leasedJob(WorkerRenewed.Ref ref, WorkerRenewed renewed, long now) {
    Job job = store.find(ref.job());
    boolean isLeased =
        job != null
            && job.isLive(ref.attempt())
            && job.live().worker().equals(renewed.worker())
            && now < job.live().leaseUntilMillis();
    return isLeased ? job : null;
  }

  private Either<Failure, String> applySilence(WorkerSilent silent, Position position) {
    WorkerRecord existing = store.worker(silent.worker());
    if (existing == null || existing.boot() != silent.boot() || existing.isSilent()) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT,
              silent.worker(),
              "silent already, or not at boot " + silent.boot()));
    }
    store.putWorker(existing.silent(position.offset()));
    return Either.right("excluded from placement");
  }

  private Either<Failure, String> applyQuarantine(WorkerQuarantined proposed, Position position) {
    WorkerRecord existing = store.worker(proposed.worker());
    Optional<Host> host = environment.host(proposed.worker());
    if (existing == null || host.isEmpty()) {
      return Either.left(Failure.of(ResultCode.HOST_UNKNOWN, proposed.worker()));
    }
    if (existing.isQuarantined()) {
      return Either.left(Failure.of(ResultCode.ALREADY_APPLIED, existing.reason()));
    }
    if (existing.takenOffset() >= proposed.plannedOffset()) {
      return Either.left(
          Failure.of(
              ResultCode.PLAN_STALE,
              proposed.plannedOffset(),
              proposed.worker(),
              existing.takenOffset()));
    }
    if (existing.charges().size() < MIN_CHARGES) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT,
              proposed.worker(),
              "charged with "
                  + existing.charges().size()
                  + " failures, "
                  + MIN_CHARGES
                  + " needed"));
    }
    Optional<Failure> refusal =
        checkPoolLimit(host.get().pool(), proposed.worker())
            .or(() -> environment.quarantineRefusal(proposed.worker()));
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    store.putWorker(
        existing.quarantined(position.offset(), position.timeMillis(), proposed.figures()));
    return Either.right(proposed.figures());
  }

  private Optional<Failure> checkPoolLimit(String pool, String worker) {
    long quarantined =
        store.workers().stream()
            .filter(WorkerRecord::isQuarantined)
            .filter(
                record ->
                    environment
                        .host(record.worker())
                        .filter(host -> host.pool().equals(pool))
                        .isPresent())
            .count();
    long limit = environment.hostCount(pool) / QUARANTINE_DIVISOR;
    return quarantined < limit
        ? Optional.empty()
        : Optional.of(
            Failure.of(
                ResultCode.HOST_STATE_CONFLICT,
                worker,
                "one of "
                    + (quarantined + 1)
                    + " to quarantine; pool "
                    + pool
                    + " allows "
                    + limit));
  }
}
