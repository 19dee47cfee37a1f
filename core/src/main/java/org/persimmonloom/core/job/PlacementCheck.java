package org.persimmonloom.core.job;

import java.util.Optional;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.release.TeamDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Checks a proposed placement against the fold. Pure; called on the fold thread. */
final class PlacementCheck {
  /** Time after the start of a quarantine before the worker accepts a test job. */
  static final long TEST_JOB_DELAY_MILLIS = 10 * 60_000L;

  private PlacementCheck() {}

  static Optional<Failure> refusal(
      JobStore store, JobEnvironment environment, Job job, JobPlaced placed, Position position) {
    Optional<Host> host = environment.host(placed.worker());
    if (host.isEmpty()) {
      return Optional.of(Failure.of(ResultCode.HOST_UNKNOWN, placed.worker()));
    }
    return checkHost(environment, host.get(), job)
        .or(() -> checkWorker(store, job, placed, position))
        .or(() -> checkOffset(store, host.get(), placed, position))
        .or(() -> checkCapacity(store, host.get(), job, placed))
        .or(() -> checkQuota(store, environment, job, placed));
  }

  private static Optional<Failure> checkHost(JobEnvironment environment, Host host, Job job) {
    if (host.state() != HostState.AVAILABLE) {
      return conflict(host.name(), host.state());
    }
    String pool =
        environment.service(job.spec().service()).map(ServiceDefinition::workers).orElse("");
    return host.pool().equals(pool)
        ? Optional.empty()
        : conflict(host.name(), "in pool " + host.pool() + ", not " + pool);
  }

  private static Optional<Failure> checkWorker(
      JobStore store, Job job, JobPlaced placed, Position position) {
    WorkerRecord worker = store.worker(placed.worker());
    if (worker == null || worker.isSilent()) {
      return conflict(placed.worker(), "silent");
    }
    if (!worker.isQuarantined()) {
      return Optional.empty();
    }
    boolean mayTest =
        position.timeMillis() >= worker.quarantinedMillis() + TEST_JOB_DELAY_MILLIS
            && job.spec().isRepeatable()
            && !job.spec().isUrgent()
            && store.liveAt(placed.worker()).isEmpty();
    return mayTest
        ? Optional.empty()
        : conflict(placed.worker(), "in quarantine: " + worker.reason());
  }

  /**
   * Rejects a placement if the worker changed since it was planned. Placements of the same batch
   * come from one plan and do not make each other stale.
   */
  private static Optional<Failure> checkOffset(
      JobStore store, Host host, JobPlaced placed, Position position) {
    long takenOffset = store.worker(placed.worker()).takenOffset();
    boolean isWorkerChanged =
        takenOffset >= placed.plannedOffset() && takenOffset != position.offset();
    boolean isHostChanged = host.stateOffset() >= placed.plannedOffset();
    if (!isWorkerChanged && !isHostChanged) {
      return Optional.empty();
    }
    return Optional.of(
        Failure.of(
            ResultCode.PLAN_STALE,
            placed.plannedOffset(),
            placed.worker(),
            Math.max(takenOffset, host.stateOffset())));
  }

  private static Optional<Failure> checkCapacity(
      JobStore store, Host host, Job job, JobPlaced placed) {
    JobSize size = placed.size();
    JobSize used = store.usedByWorker(placed.worker());
    boolean isValid =
        size.cores() >= 1
            && size.memoryMb() >= Math.max(1, job.memoryFloorMb())
            && size.accelerators() == job.spec().size().accelerators();
    if (isValid && used.plus(size).fitsIn(capacity(host))) {
      return Optional.empty();
    }
    return Optional.of(
        Failure.of(
            ResultCode.NO_CAPACITY,
            placed.job(),
            size + " at " + placed.worker() + " with " + used + " of " + capacity(host)));
  }

  private static Optional<Failure> checkQuota(
      JobStore store, JobEnvironment environment, Job job, JobPlaced placed) {
    String name = job.spec().team();
    Optional<TeamDefinition> team = environment.team(name);
    if (team.isEmpty()) {
      return Optional.of(Failure.of(ResultCode.TEAM_UNKNOWN, name));
    }
    JobSize quota = JobTable.quota(team.get());
    return store.usedByTeam(name).plus(placed.size()).fitsIn(quota)
        ? Optional.empty()
        : Optional.of(Failure.of(ResultCode.QUOTA_EXCEEDED, name, quota));
  }

  static JobSize capacity(Host host) {
    return new JobSize(host.facts().cores(), host.facts().memoryMb(), host.facts().accelerators());
  }

  private static Optional<Failure> conflict(String host, Object state) {
    return Optional.of(Failure.of(ResultCode.HOST_STATE_CONFLICT, host, state));
  }
}
