package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import javax.inject.Inject;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.maintenance.MaintenanceCancelled;
import org.persimmonloom.core.maintenance.MaintenancePlan;
import org.persimmonloom.core.maintenance.MaintenanceRequested;
import org.persimmonloom.core.maintenance.PoolStatus;
import org.persimmonloom.core.maintenance.Wave;
import org.persimmonloom.core.release.PoolDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * The operators' paths for hosts, pools and waves. Times are milliseconds since the epoch,
 * durations milliseconds; lists are separated by commas. Safe for any thread.
 */
public final class FleetRoutes {
  private final ProposalRoutes proposals;
  private final ReplicatedState state;
  private final ExplainRoute explain;

  @Inject
  public FleetRoutes(ProposalRoutes proposals, ReplicatedState state, ExplainRoute explain) {
    this.proposals = proposals;
    this.state = state;
    this.explain = explain;
  }

  /** Returns the routes. */
  public Set<OperatorRoute> all() {
    return Set.of(
        new FunctionRoute("GET", "/hosts", this::hosts),
        new FunctionRoute("POST", "/hosts/move", this::move),
        new FunctionRoute("GET", "/pools", this::pools),
        new FunctionRoute("GET", "/maintenance", this::waves),
        new FunctionRoute("POST", "/maintenance", this::request),
        new FunctionRoute("POST", "/maintenance/cancel", this::cancel),
        new FunctionRoute("GET", "/maintenance/plan", this::plan),
        explain);
  }

  private Either<Failure, ?> hosts(OperatorRequest request) {
    return request
        .parameter("pool")
        .<Either<Failure, ?>>map(
            pool ->
                state.read(fleet -> known(fleet, pool).map(unused -> fleet.hosts().inPool(pool))))
        .orElseGet(() -> Either.right(state.read(fleet -> List.copyOf(fleet.hosts().all()))));
  }

  private static Either<Failure, PoolDefinition> known(FleetState fleet, String pool) {
    return fleet
        .releases()
        .pool(pool)
        .<Either<Failure, PoolDefinition>>map(Either::right)
        .orElseGet(() -> Either.left(Failure.of(ResultCode.POOL_UNKNOWN, pool)));
  }

  private Either<Failure, ?> pools(OperatorRequest request) {
    List<String> names = list(request, "pool");
    if (names.isEmpty()) {
      return Either.right(state.read(FleetState::poolStatuses));
    }
    return state.read(
        fleet -> {
          List<PoolStatus> found = new ArrayList<>();
          for (String name : names) {
            if (fleet.poolStatus(name).isEmpty()) {
              return Either.left(Failure.of(ResultCode.POOL_UNKNOWN, name));
            }
            found.add(fleet.poolStatus(name).get());
          }
          return Either.right(found);
        });
  }

  private Either<Failure, ?> move(OperatorRequest request) {
    return text(request, "host")
        .flatMap(
            host ->
                text(request, "pool")
                    .flatMap(
                        pool ->
                            number(request, "based_on", state.nextOffset() - 1)
                                .flatMap(
                                    basedOn ->
                                        proposals.propose(
                                            new HostMoveRequested(
                                                host, pool, basedOn, reason(request))))));
  }

  private static String reason(OperatorRequest request) {
    return request.parameter("reason").orElse("operator");
  }

  private Either<Failure, ?> waves(OperatorRequest request) {
    return state.read(
        fleet -> {
          List<Wave> waves = fleet.waves().all();
          String wanted = request.parameter("wave").orElse("");
          if (!wanted.isEmpty()) {
            waves = waves.stream().filter(wave -> wave.name().equals(wanted)).toList();
          }
          if (!wanted.isEmpty() && waves.isEmpty()) {
            return Either.left(Failure.of(ResultCode.WAVE_UNKNOWN, wanted));
          }
          return Either.right(
              new WaveView.Overview(
                  waves.stream().map(WaveView::of).toList(), fleet.journal().alerts()));
        });
  }

  private Either<Failure, ?> request(OperatorRequest request) {
    return text(request, "wave")
        .flatMap(wave -> requested(request, wave))
        .flatMap(proposals::propose);
  }

  private Either<Failure, ?> cancel(OperatorRequest request) {
    return text(request, "wave")
        .flatMap(
            wave ->
                proposals.propose(
                    new MaintenanceCancelled(wave, operator(request), reason(request))));
  }

  /** The plan of a request, or of every pool over the cycle if no host and window is named. */
  private Either<Failure, ?> plan(OperatorRequest request) {
    return requested(request, request.parameter("wave").orElse("plan"))
        .flatMap(
            requested ->
                state.read(
                    fleet -> {
                      MaintenanceRequested complete = withAllPools(fleet, requested);
                      return fleet
                          .waves()
                          .admission()
                          .resolveHosts(complete)
                          .flatMap(
                              hosts ->
                                  fleet
                                      .waves()
                                      .admission()
                                      .plan(complete, hosts, fleet.timeMillis(), true));
                    }))
        .flatMap(
            plan ->
                plan.fits()
                    ? Either.right(plan)
                    : Either.left(
                        Failure.of(
                            ResultCode.WINDOW_TOO_SHORT,
                            plan.neededMillis(),
                            plan.windowMillis())));
  }

  private static MaintenanceRequested withAllPools(
      FleetState fleet, MaintenanceRequested requested) {
    if (!requested.pools().isEmpty() || !requested.hosts().isEmpty()) {
      return requested;
    }
    return new MaintenanceRequested(
        requested.wave(),
        List.copyOf(fleet.releases().pools().keySet()),
        List.of(),
        requested.windowStartMillis(),
        requested.windowEndMillis(),
        requested.maxAtOnce(),
        requested.expectedDownMillis(),
        requested.operator());
  }

  private Either<Failure, MaintenanceRequested> requested(OperatorRequest request, String wave) {
    long now = state.read(FleetState::timeMillis);
    return number(request, "start", now)
        .flatMap(
            start ->
                number(request, "end", start + MaintenancePlan.CYCLE_MILLIS)
                    .flatMap(end -> requested(request, wave, start, end)));
  }

  private static Either<Failure, MaintenanceRequested> requested(
      OperatorRequest request, String wave, long start, long end) {
    return number(request, "max_at_once", 1)
        .flatMap(
            atOnce ->
                number(request, "expected_down", 0)
                    .map(
                        down ->
                            new MaintenanceRequested(
                                wave,
                                list(request, "pool"),
                                list(request, "host"),
                                start,
                                end,
                                (int) Math.max(0, Math.min(Integer.MAX_VALUE, atOnce)),
                                down,
                                operator(request))));
  }

  private static String operator(OperatorRequest request) {
    return request.parameter("operator").orElse("operator");
  }

  private static List<String> list(OperatorRequest request, String name) {
    return request
        .parameter(name)
        .map(text -> Arrays.stream(text.split(",")).filter(it -> !it.isBlank()).toList())
        .orElse(List.of());
  }

  private static Either<Failure, String> text(OperatorRequest request, String name) {
    return request
        .parameter(name)
        .filter(it -> !it.isBlank())
        .<Either<Failure, String>>map(Either::right)
        .orElseGet(() -> Either.left(Failure.of(ResultCode.USAGE, name + " is required")));
  }

  private static Either<Failure, Long> number(
      OperatorRequest request, String name, long defaultValue) {
    try {
      return Either.right(request.parameter(name).map(Long::valueOf).orElse(defaultValue));
    } catch (NumberFormatException e) {
      return Either.left(Failure.of(ResultCode.USAGE, name + " must be a whole number"));
    }
  }
}
