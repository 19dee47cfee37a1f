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
 * Decides what the host list and the passing of time do to a host: lost, leaving, returned,
 * probation over, removed. None of these asks a budget, because they record facts; budgets decide
 * what may be taken out on top of them. Stateless besides its table; confined to the thread that
 * folds.
 */
public final class HostLifecycle {
  /** Shortest probation; a host list that is read every second shows a second fall by then. */
  public static final long MIN_PROBATION_MILLIS = 1_000;

  /** Longest probation, so that a slow host does not hold a budget for twice its reboot. */
  public static final long MAX_PROBATION_MILLIS = 60_000;

  /** Probation after an unplanned loss, where no expected time is known. */
  public static final long LOSS_PROBATION_MILLIS = 10_000;

  /** Added to twice the expected time before a host counts as not back: the lag of the list. */
  public static final long RETURN_SLACK_MILLIS = 30_000;

  private final HostTable hosts;
  private final DecisionRecorder recorder;

  /** Creates the handlers of {@code hosts}. */
  public HostLifecycle(HostTable hosts, DecisionRecorder recorder) {
    this.hosts = hosts;
    this.recorder = recorder;
  }

  /** Registers the handlers. */
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(HostReturned.class, this::comeBack);
    registry.register(ProbationOver.class, this::endProbation);
    registry.register(HostLost.class, this::lose);
    registry.register(HostLeaving.class, this::leave);
    registry.register(HostRemoved.class, this::remove);
    registry.register(HostsUnlisted.class, this::unlist);
  }

  /**
   * Returns how long a returned host must stay up: as long as its reboot was expected to take,
   * within bounds, because a host that restarts in a loop falls again within one reboot.
   */
  public static long probationMillis(Host host) {
    if (host.drain() == null) {
      return LOSS_PROBATION_MILLIS;
    }
    return Math.max(
        MIN_PROBATION_MILLIS, Math.min(MAX_PROBATION_MILLIS, host.drain().expectedDownMillis()));
  }

  /** Returns the time at which a host that is down counts as an unplanned loss. */
  public static long returnDeadlineMillis(Host host) {
    long expected = host.drain() == null ? 0 : host.drain().expectedDownMillis();
    return host.stateMillis() + 2 * expected + RETURN_SLACK_MILLIS;
  }

  private Either<Failure, Host> current(String name, long stateOffset) {
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

  private Either<Failure, String> comeBack(HostReturned returned, Position position) {
    return current(returned.host(), returned.stateOffset())
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
    return current(over.host(), over.stateOffset())
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

  private Either<Failure, String> lose(HostLost lost, Position position) {
    return current(lost.host(), lost.stateOffset())
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

  private Either<Failure, String> leave(HostLeaving leaving, Position position) {
    return current(leaving.host(), leaving.stateOffset())
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

  private Either<Failure, String> unlist(HostsUnlisted unlisted, Position position) {
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
