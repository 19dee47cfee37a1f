package org.persimmonloom.core.maintenance;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.explain.DecisionRecorder;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.member.EntryHostListener;
import org.persimmonloom.core.member.EntryHostTable;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Handles the proposals of a drain: request (which grants it), confirmation, cancellation, down.
 *
 * <p>A host becomes {@link HostState#DRAINED} when every live entry host has confirmed the drain:
 * with the last confirmation, or with the end of the last incarnation that had not confirmed. A
 * confirmation is valid only for the incarnation that made it. The budgets are checked again before
 * a host goes down, because a drained host can still return to service and a rebooting one can't.
 * Confined to the fold thread.
 */
public final class DrainHandlers implements EntryHostListener {
  private final HostTable hosts;
  private final EntryHostTable entryHosts;
  private final WaveTable waves;
  private final AvailabilityBudgets budgets;
  private final DecisionRecorder recorder;

  /** Creates the handlers over the tables of one fold. */
  public DrainHandlers(
      HostTable hosts,
      EntryHostTable entryHosts,
      WaveTable waves,
      AvailabilityBudgets budgets,
      DecisionRecorder recorder) {
    this.hosts = hosts;
    this.entryHosts = entryHosts;
    this.waves = waves;
    this.budgets = budgets;
    this.recorder = recorder;
  }

  /** Registers a handler for each proposal of a drain. */
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(DrainRequested.class, this::request);
    registry.register(DrainConfirmed.class, this::confirm);
    registry.register(DrainCancelled.class, this::cancel);
    registry.register(HostDown.class, this::goDown);
  }

  private Either<Failure, String> request(DrainRequested request, Position position) {
    Either<Failure, Host> lookup = hosts.require(request.host());
    Wave wave = waves.find(request.wave()).orElse(null);
    if (lookup.isLeft() || wave == null) {
      return Either.left(
          lookup.isLeft() ? lookup.getLeft() : Failure.of(ResultCode.WAVE_UNKNOWN, request.wave()));
    }
    Host host = lookup.get();
    Optional<Failure> refusal =
        checkPending(wave, host)
            .or(() -> waves.checkWave(wave, position.timeMillis()))
            .or(() -> waves.checkHost(wave, host, waves.inProgressHosts(wave)))
            .or(() -> budgets.check(host));
    if (refusal.isPresent()) {
      return Either.left(refusal.get());
    }
    Host draining =
        host.withState(HostState.DRAINING, WaveTable.drainFor(wave, position), position);
    hosts.put(draining, position);
    return Either.right("granted; " + roomText(draining));
  }

  private Optional<Failure> checkPending(Wave wave, Host host) {
    if (host.isInWave(wave.name())) {
      return Optional.of(
          Failure.of(ResultCode.ALREADY_APPLIED, host.name() + " is " + host.state()));
    }
    Wave.Progress progress = wave.progress().get(host.name());
    if (!wave.status().isOpen() || progress == null || progress.step() != Wave.Step.PENDING) {
      String state = progress == null ? "without host " + host.name() : progress.step().toString();
      return Optional.of(
          Failure.of(
              ResultCode.WAVE_STATE_CONFLICT,
              wave.name(),
              wave.status().isOpen() ? state : wave.status()));
    }
    if (host.isUnavailable()) {
      return Optional.of(conflict(host));
    }
    return Optional.empty();
  }

  private String roomText(Host host) {
    StringBuilder text = new StringBuilder("budget room left:");
    for (BudgetGroup group : budgets.groupsOf(host)) {
      text.append(' ').append(group.key()).append('=').append(budgets.use(group).room());
    }
    return text.toString();
  }

  private static Failure conflict(Host host) {
    return Failure.of(ResultCode.HOST_STATE_CONFLICT, host.name(), host.stateText());
  }

  /** Returns the host if it is in the drain that started at this offset. */
  private Either<Failure, Host> requireDrain(String name, long drainOffset) {
    return hosts
        .require(name)
        .flatMap(
            host ->
                host.drain() != null && host.drain().offset() == drainOffset
                    ? Either.right(host)
                    : Either.left(conflict(host)));
  }

  private Either<Failure, String> confirm(DrainConfirmed confirmed, Position position) {
    return requireDrain(confirmed.host(), confirmed.drainOffset())
        .flatMap(
            host -> {
              if (host.state() != HostState.DRAINING) {
                return Either.left(conflict(host));
              }
              if (host.drain().isConfirmedBy(position.author(), position.incarnation())) {
                return Either.left(Failure.of(ResultCode.ALREADY_APPLIED, "confirmed"));
              }
              Drain drain =
                  host.drain().withConfirmation(position.author(), position.incarnation());
              hosts.putConfirmedDrain(host.withDrain(drain));
              completeIfConfirmed(host.withDrain(drain), position);
              return Either.right("confirmed by " + position.author());
            });
  }

  /** Marks the host as drained if there is a live entry host and all of them have confirmed. */
  private void completeIfConfirmed(Host host, Position position) {
    List<EntryHost> live = entryHosts.live();
    boolean isConfirmedByAll =
        !live.isEmpty()
            && live.stream()
                .allMatch(entry -> host.drain().isConfirmedBy(entry.name(), entry.incarnation()));
    if (isConfirmedByAll) {
      hosts.put(host.withState(HostState.DRAINED, host.drain(), position), position);
      recorder.record(
          Subject.host(host.name()),
          position,
          ResultCode.OK,
          "DRAINED: confirmed by " + live.size() + " live entry hosts");
    }
  }

  /**
   * Completes drains that waited only for the ended incarnation. If a new incarnation replaces it,
   * the entry host stays live and the new incarnation has to confirm.
   */
  @Override
  public void incarnationEnded(String name, long incarnation, Position position) {
    boolean isReplaced = position.author().equals(name) && position.incarnation() != incarnation;
    if (isReplaced) {
      return;
    }
    for (Host host : List.copyOf(hosts.all())) {
      if (host.state() == HostState.DRAINING) {
        completeIfConfirmed(host, position);
      }
    }
  }

  private Either<Failure, String> cancel(DrainCancelled cancelled, Position position) {
    return requireDrain(cancelled.host(), cancelled.drainOffset())
        .flatMap(
            host -> {
              if (host.state() != HostState.DRAINING && host.state() != HostState.DRAINED) {
                return Either.left(conflict(host));
              }
              hosts.put(host.withState(HostState.AVAILABLE, null, position), position);
              return Either.right("back in service: " + cancelled.reason());
            });
  }

  private Either<Failure, String> goDown(HostDown down, Position position) {
    return requireDrain(down.host(), down.drainOffset())
        .flatMap(
            host -> {
              if (host.state() != HostState.DRAINED || host.drain().cause() != Drain.Cause.WAVE) {
                return Either.left(conflict(host));
              }
              Optional<Failure> refusal = budgets.check(host);
              if (refusal.isPresent()) {
                return Either.left(refusal.get());
              }
              hosts.put(host.withState(HostState.DOWN, host.drain(), position), position);
              return Either.right("expected back in " + host.drain().expectedDownMillis() + " ms");
            });
  }
}
