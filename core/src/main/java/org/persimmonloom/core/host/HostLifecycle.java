package org.persimmonloom.core.host;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.explain.DecisionRecorder;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Handles the proposals that follow from the host list or from elapsed time: a host is lost,
 * leaving, returned, past its probation, unlisted or removed. They record what has happened to a
 * host, so no budget is checked; budgets limit which further hosts may be taken out of service. Has
 * no state of its own besides the host table; confined to the thread that folds.
 */
public final class HostLifecycle {
  /** Shortest probation; a host list that is read every second shows another failure by then. */
  public static final long MIN_PROBATION_MILLIS = 1_000;

  /**
   * Longest probation; without it, a host that reboots slowly would use its budget twice as long.
   */
  public static final long MAX_PROBATION_MILLIS = 60_000;

  /** Probation after an unplanned loss, for which there is no expected downtime. */
  public static final long LOSS_PROBATION_MILLIS = 10_000;

  /**
   * Added to twice the expected downtime to get the return deadline of a host; allows for the lag
   * of the host list.
   */
  public static final long RETURN_SLACK_MILLIS = 30_000;

  private final HostTable hosts;
  private final DecisionRecorder recorder;

  /** Creates the handlers for the hosts of a table. */
  public HostLifecycle(HostTable hosts, DecisionRecorder recorder) {
    this.hosts = hosts;
    this.recorder = recorder;
  }

  /** Registers the handlers. */
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(HostReturned.class, this::markReturned);
    registry.register(ProbationOver.class, this::endProbation);
    registry.register(HostLost.class, this::markLost);
    registry.register(HostLeaving.class, this::drainLeaving);
    registry.register(HostRemoved.class, this::remove);
    registry.register(HostsUnlisted.class, this::setUnlisted);
  }

  /**
   * Returns how long, in milliseconds, a returned host must stay up before it is available: the
   * expected downtime of its reboot, within bounds. A host that restarts in a loop fails again
   * within the time of one reboot.
   */
  public static long probationMillis(Host host) {
    if (host.drain() == null) {
      return LOSS_PROBATION_MILLIS;
    }
    return Math.max(
        MIN_PROBATION_MILLIS, Math.min(MAX_PROBATION_MILLIS, host.drain().expectedDownMillis()));
  }

  /**
   * Returns the fold time in milliseconds from which a host that is down counts as an unplanned
   * loss.
   */
  public static long returnDeadlineMillis(Host host) {
    long expected = host.drain() == null ? 0 : host.drain().expectedDownMillis();
    return host.stateMillis() + 2 * expected + RETURN_SLACK_MILLIS;
  }

  private Either<Failure, Host> findInState(String name, long stateOffset) {
    return hosts
        .require(name)
        .flatMap(host -> host.stateOffset() == stateOffset ? Either.right(host) : conflict(host));
  }

  private static <T> Either<Failure, T> conflict(Host host) {
    return Either.left(
        Failure.of(
            ResultCode.HOST_STATE_CONFLICT,
            host.name(),
            host.state() + " since offset " + host.stateOffset()));
  }

  private Either<Failure, String> markReturned(HostReturned returned, Position position) {
    return findInState(returned.host(), returned.stateOffset())
        .flatMap(
            host -> {
              if (host.state() != HostState.DOWN && host.state() != HostState.LOST) {
                return conflict(host);
              }
              Host next = host.withState(HostState.RETURNED, host.drain(), position);
              hosts.put(next, position);
              return Either.right("probation of " + probationMillis(next) + " ms");
            });
  }

  private Either<Failure, String> endProbation(ProbationOver over, Position position) {
    return findInState(over.host(), over.stateOffset())
        .flatMap(
            host -> {
              long upMillis = position.timeMillis() - host.stateMillis();
              if (host.state() != HostState.RETURNED || upMillis < probationMillis(host)) {
                return conflict(host);
              }
              hosts.put(host.withState(HostState.AVAILABLE, null, position), position);
              return Either.right("up for " + upMillis + " ms");
            });
  }

  private Either<Failure, String> markLost(HostLost lost, Position position) {
    return findInState(lost.host(), lost.stateOffset())
        .flatMap(
            host -> {
              boolean isExpected =
                  host.state() == HostState.DOWN
                      && position.timeMillis() < returnDeadlineMillis(host);
              if (host.state() == HostState.LOST || isExpected) {
                return conflict(host);
              }
              hosts.put(
                  host.withUnlisted(false).withState(HostState.LOST, null, position), position);
              if (host.state() == HostState.DOWN) {
                recorder.alert(
                    Subject.host(host.name()), position, "not back in time: " + lost.reason());
              }
              return Either.right("was " + host.state() + "; " + lost.reason());
            });
  }

  private Either<Failure, String> drainLeaving(HostLeaving leaving, Position position) {
    return findInState(leaving.host(), leaving.stateOffset())
        .flatMap(
            host -> {
              if (host.state() != HostState.AVAILABLE) {
                return conflict(host);
              }
              Drain drain = Drain.unconfirmed(Drain.Cause.LEAVING, "", position.offset(), 0);
              hosts.put(host.withState(HostState.DRAINING, drain, position), position);
              return Either.right("named as leaving by the platform");
            });
  }

  private Either<Failure, String> remove(HostRemoved removed, Position position) {
    return hosts
        .require(removed.host())
        .flatMap(
            host -> {
              boolean isRemovable =
                  host.state() == HostState.LOST
                      || host.state() == HostState.DRAINED
                      || host.state() == HostState.DOWN;
              if (!isRemovable) {
                return conflict(host);
              }
              hosts.remove(host, position);
              return Either.right("removed from pool " + host.pool() + " by " + removed.operator());
            });
  }

  private Either<Failure, String> setUnlisted(HostsUnlisted unlisted, Position position) {
    List<String> changed = new ArrayList<>();
    for (String name : unlisted.hosts()) {
      Optional<Host> host = hosts.find(name);
      boolean isGone = host.isEmpty() || host.get().state() == HostState.LOST;
      if (!isGone && host.get().isUnlisted() != unlisted.isUnlisted()) {
        hosts.put(host.get().withUnlisted(unlisted.isUnlisted()), position);
        changed.add(name);
      }
    }
    if (changed.isEmpty()) {
      return Either.left(Failure.of(ResultCode.ALREADY_APPLIED, unlisted.domain()));
    }
    String text =
        changed.size()
            + (unlisted.isUnlisted() ? " hosts vanished at once from " : " hosts listed again in ")
            + unlisted.domain();
    if (unlisted.isUnlisted()) {
      recorder.alert(Subject.list(unlisted.domain()), position, text + ": " + changed);
    }
    return Either.right(text);
  }
}
