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

/** Decides the records that concern a whole worker. Confined to the thread that folds. */
final class WorkerEvents {
  /** Jobs that failed at a worker and succeeded elsewhere before it may be quarantined. */
  static final int MIN_CHARGES = 3;

  /** At most one in this many workers of a pool is quarantined at once. */
  static final int QUARANTINE_DIVISOR = 4;

  private final JobStore store;
  private final JobEnvironment environment;

  WorkerEvents(JobStore store, JobEnvironment environment) {
    this.store = store;
    this.environment = environment;
  }

  void registerHandlers(ProposalRegistry registry) {
    registry.register(WorkerRenewed.class, this::renew);
    registry.register(WorkerSilent.class, this::silence);
    registry.register(WorkerQuarantined.class, this::quarantine);
  }

  private Either<Failure, String> renew(WorkerRenewed renewed, Position position) {
    if (environment.host(renewed.worker()).isEmpty()) {
      return Either.left(Failure.of(ResultCode.HOST_UNKNOWN, renewed.worker()));
    }
    WorkerRecord known = store.worker(renewed.worker());
    long now = position.timeMillis();
    if (known == null) {
      store.putWorker(WorkerRecord.registered(renewed.worker(), renewed.boot(), now));
      return Either.right("registered");
    }
    if (renewed.boot() < known.boot()) {
      return Either.left(
          Failure.of(ResultCode.HOST_STATE_CONFLICT, renewed.worker(), "at boot " + known.boot()));
    }
    if (known.isSilent() && renewed.observedOffset() <= known.silentOffset()) {
      return Either.left(
          Failure.of(
              ResultCode.PLAN_STALE,
              renewed.observedOffset(),
              renewed.worker(),
              known.silentOffset()));
    }
    if (renewed.boot() > known.boot()) {
      store.putWorker(known.renewed(renewed.boot(), now));
      return Either.right(loseFormerBoot(renewed, now) + " attempts ended by a reboot");
    }
    return extend(renewed, known, now);
  }

  /** A task does not survive a reboot, so its lease needs no time to run out. */
  private int loseFormerBoot(WorkerRenewed renewed, long nowMillis) {
    int lost = 0;
    for (Job job : store.liveAt(renewed.worker())) {
      if (job.live().boot() < renewed.boot()) {
        store.put(JobEvents.lost(job, renewed.worker() + " rebooted", nowMillis));
        lost++;
      }
    }
    return lost;
  }

  private Either<Failure, String> extend(WorkerRenewed renewed, WorkerRecord known, long now) {
    List<Job> held = renewed.attempts().stream().map(it -> held(it, renewed, now)).toList();
    List<Job> extended = held.stream().filter(Objects::nonNull).toList();
    if (extended.isEmpty() && !held.isEmpty() && !known.isSilent()) {
      WorkerRenewed.Ref first = renewed.attempts().get(0);
      return Either.left(Failure.of(ResultCode.LEASE_STALE, first.job(), first.attempt()));
    }
    store.putWorker(known.renewed(renewed.boot(), now));
    for (Job job : extended) {
      Attempt attempt = job.live().leasedUntil(now + LeaseRules.FOLD_LEASE_MILLIS);
      store.put(job.withLive(job.state(), attempt, now));
    }
    return Either.right(extended.size() + " leases extended");
  }

  /** Returns the job if the attempt is live at this worker and its lease is not over; else null. */
  private Job held(WorkerRenewed.Ref ref, WorkerRenewed renewed, long now) {
    Job job = store.find(ref.job());
    boolean isHeld =
        job != null
            && job.isLive(ref.attempt())
            && job.live().worker().equals(renewed.worker())
            && now < job.live().leaseUntilMillis();
    return isHeld ? job : null;
  }

  private Either<Failure, String> silence(WorkerSilent silent, Position position) {
    WorkerRecord known = store.worker(silent.worker());
    if (known == null || known.boot() != silent.boot() || known.isSilent()) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT, silent.worker(), "not heard in " + silent.boot()));
    }
    store.putWorker(known.silent(position.offset()));
    return Either.right("out of placement");
  }

  private Either<Failure, String> quarantine(WorkerQuarantined proposed, Position position) {
    WorkerRecord known = store.worker(proposed.worker());
    Optional<Host> host = environment.host(proposed.worker());
    if (known == null || host.isEmpty()) {
      return Either.left(Failure.of(ResultCode.HOST_UNKNOWN, proposed.worker()));
    }
    if (known.isQuarantined()) {
      return Either.left(Failure.of(ResultCode.ALREADY_APPLIED, known.reason()));
    }
    if (known.takenOffset() >= proposed.plannedOffset()) {
      return Either.left(
          Failure.of(
              ResultCode.PLAN_STALE,
              proposed.plannedOffset(),
              proposed.worker(),
              known.takenOffset()));
    }
    if (known.charges().size() < MIN_CHARGES) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT,
              proposed.worker(),
              "charged with " + known.charges().size() + " failures, " + MIN_CHARGES + " needed"));
    }
    Optional<Failure> refusal =
        checkShare(host.get().pool(), proposed.worker())
            .or(() -> environment.quarantineRefusal(proposed.worker()));
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    store.putWorker(
        known.quarantined(position.offset(), position.timeMillis(), proposed.figures()));
    return Either.right(proposed.figures());
  }

  private Optional<Failure> checkShare(String pool, String worker) {
    long held =
        store.workers().stream()
            .filter(WorkerRecord::isQuarantined)
            .filter(
                it -> environment.host(it.worker()).filter(h -> h.pool().equals(pool)).isPresent())
            .count();
    long limit = environment.hostCount(pool) / QUARANTINE_DIVISOR;
    return held < limit
        ? Optional.empty()
        : Optional.of(
            Failure.of(
                ResultCode.HOST_STATE_CONFLICT,
                worker,
                "one of " + (held + 1) + " to quarantine; pool " + pool + " allows " + limit));
  }
}
