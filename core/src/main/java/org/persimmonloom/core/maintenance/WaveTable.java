package org.persimmonloom.core.maintenance;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.persimmonloom.core.explain.DecisionRecorder;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostListener;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The maintenance waves: accepted requests, the progress of each host, and cancellation.
 *
 * <p>A host is in at most one open wave. Waves with different hosts may overlap in time and use the
 * same budgets; the order of the drain requests in the log determines which is granted. The hosts
 * of a wave are fixed when it is accepted: a host that moves to another pool stays in the wave and
 * is drained under the budgets of its new pool. Confined to the fold thread.
 */
public final class WaveTable implements ReplicatedTable<WaveTable.Snapshot>, HostListener {
  /** Maximum number of closed waves kept, so that operators can look up their result. */
  static final int MAX_CLOSED_WAVES = 32;

  /** Bounds the size of the state; 248 pools need far fewer waves at once. */
  static final int MAX_OPEN_WAVES = 64;

  private final TreeMap<String, Wave> waves = new TreeMap<>();
  private final HostTable hosts;
  private final DecisionRecorder recorder;
  private final PauseMonitor pauses;
  private final WaveAdmission admission;

  /** The complete state of the table. */
  public record Snapshot(List<Wave> waves, PauseMonitor.Snapshot pauses) {
    public Snapshot {
      waves = List.copyOf(waves);
    }
  }

  /** Creates an empty table of waves over {@code hosts}. */
  public WaveTable(HostTable hosts, AvailabilityBudgets budgets, DecisionRecorder recorder) {
    this.hosts = hosts;
    this.recorder = recorder;
    admission = new WaveAdmission(hosts, budgets, this::openWaveOf);
    pauses = new PauseMonitor(budgets);
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(MaintenanceRequested.class, this::request);
    registry.register(MaintenanceCancelled.class, this::cancel);
  }

  private Either<Failure, String> request(MaintenanceRequested request, Position position) {
    Wave existing = waves.get(request.wave());
    if (existing != null) {
      return Either.left(
          existing.request().equals(request)
              ? Failure.of(ResultCode.ALREADY_APPLIED, "wave " + request.wave())
              : Failure.of(ResultCode.WAVE_STATE_CONFLICT, request.wave(), existing.status()));
    }
    if (openWaves().size() >= MAX_OPEN_WAVES) {
      return Either.left(
          Failure.of(ResultCode.WAVE_STATE_CONFLICT, request.wave(), "one of too many open waves"));
    }
    return admission
        .resolveHosts(request)
        .flatMap(
            members ->
                admission
                    .checkOverlap(members)
                    .<Either<Failure, List<Host>>>map(Either::left)
                    .orElseGet(() -> Either.right(members)))
        .flatMap(
            members ->
                admission
                    .plan(request, members, position.timeMillis(), false)
                    .flatMap(plan -> accept(request, members, plan, position)));
  }

  private Either<Failure, String> accept(
      MaintenanceRequested request, List<Host> members, MaintenancePlan plan, Position position) {
    if (!plan.fits()) {
      return Either.left(
          Failure.of(ResultCode.WINDOW_TOO_SHORT, plan.neededMillis(), plan.windowMillis()));
    }
    SortedMap<String, Wave.Progress> progress = new TreeMap<>();
    members.forEach(host -> progress.put(host.name(), Wave.Progress.PENDING));
    waves.put(
        request.wave(),
        new Wave(request, position.offset(), WaveStatus.SCHEDULED, "", progress, 0));
    return Either.right(
        members.size() + " hosts in " + plan.rounds() + " rounds, " + plan.neededMillis() + " ms");
  }

  private Either<Failure, String> cancel(MaintenanceCancelled cancelled, Position position) {
    Wave wave = waves.get(cancelled.wave());
    if (wave == null) {
      return Either.left(Failure.of(ResultCode.WAVE_UNKNOWN, cancelled.wave()));
    }
    if (!wave.status().isOpen()) {
      return Either.left(
          wave.status() == WaveStatus.CANCELLED
              ? Failure.of(ResultCode.ALREADY_APPLIED, "wave " + wave.name() + " is cancelled")
              : Failure.of(ResultCode.WAVE_STATE_CONFLICT, wave.name(), wave.status()));
    }
    String reason = "by " + cancelled.operator() + ": " + cancelled.reason();
    int resumed = cancelDrains(wave.name(), position);
    close(waves.get(wave.name()), WaveStatus.CANCELLED, reason, position);
    return Either.right(resumed + " hosts back in service; hosts that are down finish");
  }

  private int cancelDrains(String wave, Position position) {
    int resumed = 0;
    for (Host host : List.copyOf(hosts.all())) {
      boolean isUp = host.state() == HostState.DRAINING || host.state() == HostState.DRAINED;
      if (host.isInWave(wave) && isUp) {
        hosts.put(host.withState(HostState.AVAILABLE, null, position), position);
        resumed++;
      }
    }
    return resumed;
  }

  private void close(Wave wave, WaveStatus status, String reason, Position position) {
    waves.put(wave.name(), wave.closed(status, reason));
    recorder.record(Subject.wave(wave.name()), position, ResultCode.OK, status + " " + reason);
    List<Wave> closed =
        new ArrayList<>(waves.values().stream().filter(other -> !other.status().isOpen()).toList());
    closed.sort(Comparator.comparingLong(Wave::offset));
    for (int excess = closed.size() - MAX_CLOSED_WAVES; excess > 0; excess--) {
      waves.remove(closed.remove(0).name());
    }
  }

  @Override
  public void hostChanged(Host before, Host after, Position position) {
    String name = before == null ? after.name() : before.name();
    pauses.markChanged();
    Optional<Wave> wave = openWaveOf(name);
    if (before != null && before.drain() != null && before.drain().cause() == Drain.Cause.WAVE) {
      wave = find(before.drain().owner());
    }
    wave.ifPresent(affected -> updateProgress(affected, before, after, position));
  }

  private void updateProgress(Wave wave, Host before, Host after, Position position) {
    boolean wasInWave = before != null && before.isInWave(wave.name());
    Wave.Progress next = null;
    if (after == null) {
      next = new Wave.Progress(Wave.Step.SKIPPED, "removed from the fleet");
    } else if (after.isInWave(wave.name()) && !wasInWave) {
      next = new Wave.Progress(Wave.Step.IN_PROGRESS, "");
    } else if (wasInWave && after.state() == HostState.LOST) {
      next = new Wave.Progress(Wave.Step.SKIPPED, "lost while " + before.state());
    } else if (wasInWave && after.state() == HostState.AVAILABLE) {
      next =
          before.state() == HostState.RETURNED
              ? new Wave.Progress(Wave.Step.DONE, "")
              : Wave.Progress.PENDING;
    }
    if (next != null && next.step() == Wave.Step.PENDING && !wave.status().isOpen()) {
      next = new Wave.Progress(Wave.Step.SKIPPED, wave.reason());
    }
    if (next != null) {
      String host = before == null ? after.name() : before.name();
      waves.put(wave.name(), wave.withProgress(host, next));
    }
  }

  /**
   * Starts, pauses, resumes and closes waves according to time and losses. Called once per batch.
   */
  public void evaluate(Position position) {
    if (!pauses.isEvaluationDue(position.timeMillis())) {
      return;
    }
    pauses.evaluate(position.timeMillis());
    openWaves().forEach(wave -> evaluate(wave, position));
  }

  /** Returns the hosts of a wave whose maintenance has not started, in no particular order. */
  public List<Host> pendingHosts(Wave wave) {
    List<Host> pending = new ArrayList<>();
    wave.progress()
        .forEach(
            (name, progress) -> {
              if (progress.step() == Wave.Step.PENDING) {
                hosts.find(name).ifPresent(pending::add);
              }
            });
    return pending;
  }

  private void evaluate(Wave wave, Position position) {
    long now = position.timeMillis();
    boolean hasInProgress = wave.count(Wave.Step.IN_PROGRESS) > 0;
    boolean hasPending = hasPending(wave);
    if (!hasInProgress && !hasPending) {
      close(wave, WaveStatus.DONE, "", position);
    } else if (!hasInProgress
        && !fitsWindow(wave, now)
        && now >= wave.request().windowStartMillis()) {
      close(wave, WaveStatus.INCOMPLETE, "the window ended", position);
    } else if (now >= wave.request().windowStartMillis()) {
      Optional<String> pause = pauseReason(wave);
      WaveStatus status = pause.isPresent() ? WaveStatus.PAUSED : WaveStatus.RUNNING;
      updateStatus(wave, status, pause.orElse(""), position);
    }
  }

  private boolean hasPending(Wave wave) {
    return wave.progress().entrySet().stream()
        .anyMatch(
            entry ->
                entry.getValue().step() == Wave.Step.PENDING
                    && hosts.find(entry.getKey()).isPresent());
  }

  private void updateStatus(Wave wave, WaveStatus status, String reason, Position position) {
    if (wave.status() != status) {
      recorder.record(Subject.wave(wave.name()), position, ResultCode.OK, status + " " + reason);
    }
    if (wave.status() != status || !wave.reason().equals(reason)) {
      waves.put(wave.name(), wave.withStatus(status, reason));
    }
  }

  /** Returns why losses keep every pending host from being drained; empty if one may be drained. */
  private Optional<String> pauseReason(Wave wave) {
    Optional<String> reason = Optional.empty();
    for (String name : wave.progress().keySet()) {
      Optional<Host> host = hosts.find(name);
      if (host.isPresent() && wave.progress().get(name).step() == Wave.Step.PENDING) {
        reason = pauses.pauseReason(host.get());
        if (reason.isEmpty()) {
          return reason;
        }
      }
    }
    return reason;
  }

  /** Returns whether a drain that starts now would end its probation within the window. */
  static boolean fitsWindow(Wave wave, long nowMillis) {
    long stepMillis = MaintenancePlan.stepMillis(wave.request().expectedDownMillis());
    return nowMillis + stepMillis <= wave.request().windowEndMillis();
  }

  /** Returns why no host of the wave may be drained now, or empty. */
  Optional<Failure> checkWave(Wave wave, long nowMillis) {
    if (nowMillis < wave.request().windowStartMillis()) {
      return conflict(wave, "scheduled for " + wave.request().windowStartMillis());
    }
    if (!fitsWindow(wave, nowMillis)) {
      return conflict(wave, "too close to the end of its window");
    }
    if (wave.count(Wave.Step.IN_PROGRESS) >= wave.request().maxAtOnce()) {
      return conflict(wave, "at its limit of " + wave.request().maxAtOnce() + " hosts at once");
    }
    return Optional.empty();
  }

  /** Returns why this host of the wave may not be drained now, or empty; ignores the budgets. */
  Optional<Failure> checkHost(Wave wave, Host host, List<Host> inProgress) {
    Optional<String> pause = pauses.pauseReason(host);
    if (pause.isPresent()) {
      return conflict(wave, "paused for " + host.name() + ": " + pause.get());
    }
    for (Host other : inProgress) {
      boolean isOtherRack =
          other.pool().equals(host.pool())
              && !HostOrder.rackOf(other).equals(HostOrder.rackOf(host));
      if (isOtherRack) {
        return conflict(wave, "in rack " + HostOrder.rackOf(other) + " of pool " + host.pool());
      }
    }
    return Optional.empty();
  }

  /** Returns the hosts that are unavailable for the wave. */
  List<Host> inProgressHosts(Wave wave) {
    List<Host> inProgress = new ArrayList<>();
    wave.progress()
        .forEach(
            (name, progress) -> {
              if (progress.step() == Wave.Step.IN_PROGRESS) {
                hosts.find(name).ifPresent(inProgress::add);
              }
            });
    return inProgress;
  }

  private static Optional<Failure> conflict(Wave wave, String state) {
    return Optional.of(Failure.of(ResultCode.WAVE_STATE_CONFLICT, wave.name(), state));
  }

  /** Returns the drain of a host that the wave takes out of service at this position. */
  static Drain drainFor(Wave wave, Position position) {
    return Drain.unconfirmed(
        Drain.Cause.WAVE, wave.name(), position.offset(), wave.request().expectedDownMillis());
  }

  /** Returns the validation of requests, which also serves operators before they request a wave. */
  public WaveAdmission admission() {
    return admission;
  }

  /** Returns the wave with this name, open or closed. */
  public Optional<Wave> find(String name) {
    return Optional.ofNullable(waves.get(name));
  }

  /** Returns the open wave in which the host is pending or in progress. */
  public Optional<Wave> openWaveOf(String host) {
    return waves.values().stream()
        .filter(wave -> wave.status().isOpen())
        .filter(
            wave -> {
              Wave.Progress progress = wave.progress().get(host);
              return progress != null
                  && (progress.step() == Wave.Step.PENDING
                      || progress.step() == Wave.Step.IN_PROGRESS);
            })
        .findFirst();
  }

  /** Returns the open waves, sorted by name. */
  public List<Wave> openWaves() {
    return waves.values().stream().filter(wave -> wave.status().isOpen()).toList();
  }

  /** Returns all stored waves, open and closed, sorted by name. */
  public List<Wave> all() {
    return List.copyOf(waves.values());
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(List.copyOf(waves.values()), pauses.snapshot());
  }

  @Override
  public void restore(Snapshot snapshot) {
    waves.clear();
    snapshot.waves().forEach(wave -> waves.put(wave.name(), wave));
    pauses.restore(snapshot.pauses());
  }
}
