package org.persimmonloom.core.maintenance;

import io.vavr.control.Either;
import java.util.Optional;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.release.PoolDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Handles the proposals that move hosts between pools.
 *
 * <p>A move drains the host in its old pool, where it counts as unavailable until {@link HostMoved}
 * puts it into the new one. It is available there at once, because it was not rebooted, and so it
 * never uses a budget of the target. A plan is stale if the host or the hosts of either pool
 * changed after its offset. Changed definitions don't make it stale, since budgets, kinds and the
 * target are checked here again. Confined to the fold thread.
 */
public final class MoveHandlers {
  private final HostTable hosts;
  private final WaveTable waves;
  private final AvailabilityBudgets budgets;

  /** Creates the handlers over the tables of one fold. */
  public MoveHandlers(HostTable hosts, WaveTable waves, AvailabilityBudgets budgets) {
    this.hosts = hosts;
    this.waves = waves;
    this.budgets = budgets;
  }

  /** Registers a handler for each proposal of a move. */
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(HostMoveRequested.class, this::request);
    registry.register(HostMoved.class, this::complete);
  }

  private Either<Failure, String> request(HostMoveRequested request, Position position) {
    Either<Failure, Host> lookup = hosts.require(request.host());
    if (lookup.isLeft()) {
      return Either.left(lookup.getLeft());
    }
    Host host = lookup.get();
    Optional<Failure> refusal =
        checkTarget(host, request.targetPool())
            .or(() -> checkNotStale(host, request))
            .or(() -> checkHost(host, request.targetPool()))
            .or(() -> budgets.check(host));
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    Drain drain = Drain.unconfirmed(Drain.Cause.MOVE, request.targetPool(), position.offset(), 0);
    hosts.put(host.withState(HostState.DRAINING, drain, position), position);
    return Either.right(
        "draining in " + host.pool() + " for " + request.targetPool() + ": " + request.reason());
  }

  private Optional<Failure> checkTarget(Host host, String target) {
    Optional<PoolDefinition> pool = hosts.pool(target);
    if (pool.isEmpty()) {
      return Optional.of(Failure.of(ResultCode.POOL_UNKNOWN, target));
    }
    if (!HostTable.acceptsKind(pool.get(), host.facts().kind())) {
      return moveRefused(host, target, "the pool holds no hosts of kind " + host.facts().kind());
    }
    if (host.pool().equals(target)) {
      return moveRefused(host, target, "it is there already");
    }
    return Optional.empty();
  }

  private Optional<Failure> checkNotStale(Host host, HostMoveRequested request) {
    if (host.stateOffset() > request.basedOnOffset()) {
      return Optional.of(
          Failure.of(
              ResultCode.PLAN_STALE,
              request.basedOnOffset(),
              "host " + host.name(),
              host.stateOffset()));
    }
    for (String pool : new String[] {host.pool(), request.targetPool()}) {
      long changed = hosts.poolChangedOffset(pool);
      if (changed > request.basedOnOffset()) {
        return Optional.of(
            Failure.of(ResultCode.PLAN_STALE, request.basedOnOffset(), "pool " + pool, changed));
      }
    }
    return Optional.empty();
  }

  private Optional<Failure> checkHost(Host host, String target) {
    Optional<Wave> wave = waves.openWaveOf(host.name());
    if (wave.isPresent()) {
      return moveRefused(host, target, "it is in wave " + wave.get().name());
    }
    if (host.isUnavailable()) {
      return moveRefused(host, target, "it is " + host.stateText());
    }
    return Optional.empty();
  }

  private static Optional<Failure> moveRefused(Host host, String target, String reason) {
    return Optional.of(Failure.of(ResultCode.MOVE_REFUSED, host.name(), target, reason));
  }

  private Either<Failure, String> complete(HostMoved moved, Position position) {
    Either<Failure, Host> lookup = hosts.require(moved.host());
    if (lookup.isLeft()) {
      return Either.left(lookup.getLeft());
    }
    Host host = lookup.get();
    boolean isReady =
        host.state() == HostState.DRAINED
            && host.isMoving()
            && host.drain().offset() == moved.drainOffset();
    if (!isReady) {
      return Either.left(Failure.of(ResultCode.HOST_STATE_CONFLICT, host.name(), host.state()));
    }
    String target = host.drain().owner();
    Optional<Failure> refusal = checkTarget(host, target).or(() -> budgets.check(host));
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    hosts.put(host.movedTo(target, position), position);
    return Either.right(host.name() + " moved from " + host.pool() + " to " + target);
  }
}
