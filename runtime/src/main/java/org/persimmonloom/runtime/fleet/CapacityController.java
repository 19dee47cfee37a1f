package org.persimmonloom.runtime.fleet;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.capacity.CapacityPlan;
import org.persimmonloom.core.capacity.CapacityPolicy;
import org.persimmonloom.core.capacity.CapacitySettings;
import org.persimmonloom.core.capacity.CapacityView;
import org.persimmonloom.core.capacity.DemandForecast;
import org.persimmonloom.core.capacity.DemandObserver;
import org.persimmonloom.core.capacity.FleetCapacityView;
import org.persimmonloom.core.capacity.MoveHistory;
import org.persimmonloom.core.capacity.PoolDemand;
import org.persimmonloom.core.capacity.PoolView;
import org.persimmonloom.core.capacity.ProposedMove;
import org.persimmonloom.core.capacity.TrendPolicy;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.maintenance.MaintenanceSteps.Step;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.ClusterView;
import org.persimmonloom.runtime.peer.Currency;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Observes the demand of pools, plans their capacity and proposes moves of hosts.
 *
 * <p>Every entry host runs it; none is in charge. Forecasts of two entry hosts differ a little, so
 * that they may choose different hosts for the same need. All moves of one kind of host are
 * therefore proposed in one rendezvous order, and the fold refuses a plan that is stale. While this
 * host is not current it neither observes nor plans, and has no plan to show. The policy moves no
 * host from or to a pool whose reports are incomplete. {@link #tick} is called by one timer thread;
 * {@link #latest} is safe for any thread.
 */
@Singleton
public final class CapacityController {
  private static final Logger LOGGER = LogManager.getLogger(CapacityController.class);

  /** The loads in heartbeats change no faster; a shorter interval would read them twice. */
  private static final long INTERVAL_MILLIS = 2_000;

  private final ReplicatedState state;
  private final Proposer proposer;
  private final ClusterView cluster;
  private final Currency currency;
  private final InstantSource clock;
  private final StepProposer moves;
  private final CapacityPolicy policy;
  private final DemandObserver demand;
  private final MoveHistory history = new MoveHistory();
  private final Counter plans;
  private final Counter proposedMoves;
  private final Counter refusedMoves;
  private final ScheduledExecutorService timer = WaveController.executor("capacity-controller");
  private volatile Optional<Round> latest = Optional.empty();
  private List<String> unknownPools = List.of();

  /** What one round saw and decided. Immutable. */
  public record Round(CapacityView view, CapacityPlan plan) {}

  @Inject
  public CapacityController(
      ReplicatedState state,
      Proposer proposer,
      ClusterView cluster,
      Currency currency,
      EntrySettings settings,
      InstantSource clock,
      PrometheusRegistry metrics) {
    this.state = state;
    this.proposer = proposer;
    this.cluster = cluster;
    this.currency = currency;
    this.clock = clock;
    this.moves = new StepProposer(this::propose, settings.name());
    this.policy = new TrendPolicy(CapacitySettings.DEFAULT);
    this.demand = new DemandObserver(CapacitySettings.DEFAULT);
    plans = counter(metrics, "capacity_plans", "Capacity plans made");
    proposedMoves = counter(metrics, "capacity_moves_proposed", "Moves this entry host proposed");
    refusedMoves = counter(metrics, "capacity_moves_refused", "Proposed moves the fold refused");
  }

  private static Counter counter(PrometheusRegistry metrics, String name, String help) {
    return Counter.builder().name("persimmonloom_" + name).help(help).register(metrics);
  }

  /** Starts the timer. */
  public void start() {
    timer.scheduleWithFixedDelay(
        this::tickSafely, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops the timer. */
  public void stop() {
    timer.shutdownNow();
  }

  private void tickSafely() {
    try {
      tick(clock.millis());
    } catch (RuntimeException e) {
      // A scheduled task that throws is never run again.
      LOGGER.error("capacity planning failed", e);
    }
  }

  /** Returns the last round; empty while this host is not current. */
  public Optional<Round> latest() {
    return currency.isCurrent() ? latest : Optional.empty();
  }

  /** Observes, plans and proposes at the given time. */
  void tick(long nowMillis) {
    if (!currency.isCurrent()) {
      latest = Optional.empty();
      return;
    }
    observe(nowMillis);
    CapacityView view = view(nowMillis);
    CapacityPlan plan = policy.plan(view, nowMillis);
    plans.inc();
    latest = Optional.of(new Round(view, plan));
    logUnknown(view);
    List<String> members =
        state.read(fleet -> fleet.entryHosts().live().stream().map(EntryHost::name).toList());
    moves.offer(plan.moves().stream().map(move -> step(view, move)).toList(), members, nowMillis);
  }

  private void observe(long nowMillis) {
    Map<String, Map<String, ServiceLoad>> loads = new TreeMap<>();
    cluster.live().forEach(member -> loads.put(member.name(), member.loads()));
    demand.observe(state.read(fleet -> PoolDemand.read(fleet, loads)), nowMillis);
  }

  private CapacityView view(long nowMillis) {
    Map<String, DemandForecast> forecasts = demand.forecasts(nowMillis);
    return state.read(
        fleet -> {
          history.observe(fleet.hosts().all(), nowMillis);
          return FleetCapacityView.of(fleet, forecasts, history.moves(), nowMillis);
        });
  }

  /** The subject is the kind of host, because a plan has at most one move of each kind. */
  private static Step step(CapacityView view, ProposedMove move) {
    String kind =
        view.pools().stream()
            .filter(pool -> pool.name().equals(move.toPool()))
            .map(pool -> pool.kind().name())
            .findFirst()
            .orElseThrow();
    return new Step(
        "capacity/" + kind,
        new HostMoveRequested(move.host(), move.toPool(), move.basedOnOffset(), move.reason()));
  }

  private CompletableFuture<List<ProposalResult>> propose(List<? extends Proposal> proposals) {
    proposedMoves.inc(proposals.size());
    return proposer
        .propose(proposals)
        .whenComplete(
            (verdicts, error) -> {
              if (error == null) {
                verdicts.forEach(this::decided);
              }
            });
  }

  private void decided(ProposalResult verdict) {
    if (verdict.isAccepted()) {
      LOGGER.info("move accepted: {}", verdict.detail());
    } else {
      refusedMoves.inc();
    }
  }

  private void logUnknown(CapacityView view) {
    List<String> unknown =
        view.pools().stream()
            .filter(pool -> pool.demand().lagMillis() > CapacitySettings.DEFAULT.maxLagMillis())
            .map(PoolView::name)
            .toList();
    if (!unknown.equals(unknownPools)) {
      LOGGER.info("pools without recent reports of demand: {}", unknown);
      unknownPools = unknown;
    }
  }
}
