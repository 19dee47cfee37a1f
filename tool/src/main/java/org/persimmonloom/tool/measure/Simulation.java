package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.persimmonloom.core.capacity.CapacityPlan;
import org.persimmonloom.core.capacity.CapacityPolicy;
import org.persimmonloom.core.capacity.CapacityReport;
import org.persimmonloom.core.capacity.CapacitySettings;
import org.persimmonloom.core.capacity.CapacityView;
import org.persimmonloom.core.capacity.DemandForecaster;
import org.persimmonloom.core.capacity.PoolView;
import org.persimmonloom.core.capacity.ProposedMove;
import org.persimmonloom.core.capacity.RecentMove;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * One run of one policy in simulated time: demand, queues, reports, the wave, moves and faults.
 *
 * <p>Buffer cost counts, each second: the available hosts of every pool beyond its need, where the
 * need is {@value #NEED_FACTOR} times the long-term demand that the demand model itself states (a
 * queue whose peaks are five times its mean gets half of its peak in slots of its own); the buffer
 * hosts of the spare pool; and the hosts on their way between pools. Hosts of the spare pool beyond
 * its own need and the buffer are released: they cost nothing, run nothing and lend nothing. The
 * need does not depend on the policy. Long work of executors holds at most half of the slots, so
 * that the long work of the spare pool needs twice its slots there.
 */
final class Simulation {
  static final double NEED_FACTOR = 2.5;

  private static final double SHORT_MILLIS = 250;
  private static final double LONG_EXECUTOR_MILLIS = 6_000;
  private static final double LONG_WORKER_MILLIS = 20_000;
  private static final double LONG_SHARE = 0.2;
  private static final long WINDOW = 300 * FleetSizes.SECOND;

  static final CapacitySettings SETTINGS =
      new CapacitySettings(WINDOW, 30 * FleetSizes.SECOND, 0.7, FleetSizes.USUAL_MOVE);

  private final Deployment deployment;
  private final CapacityPolicy policy;
  private final FaultPlan faults;
  private final EventQueue events = new EventQueue();
  private final DemandModel demand;
  private final Fleet fleet;
  private final Dispatcher dispatcher;
  private final HostLifecycle lifecycle;
  private final UsageReports reports;
  private final DemandForecaster forecaster = new DemandForecaster(SETTINGS);
  private final List<RecentMove> recentMoves = new ArrayList<>();
  private CapacityPlan plan;
  private CapacityReport report;
  private double bufferSeconds;
  private long offset;

  Simulation(Deployment deployment, PolicyFactory factory, boolean hasFaults, long seed) {
    this.deployment = deployment;
    this.faults = new FaultPlan(hasFaults, seed);
    this.demand = new DemandModel(deployment.services().size(), seed);
    this.fleet = new Fleet(deployment.services(), deployment.spareService());
    this.dispatcher = new Dispatcher(events, fleet.pools());
    this.lifecycle = new HostLifecycle(fleet, dispatcher, faults);
    this.reports = new UsageReports(events, faults, fleet.pools());
    this.policy = factory.create(deployment, pool -> reports.samples(fleet.pool(pool)));
    createSources(seed);
  }

  private void createSources(long seed) {
    for (SimPool pool : fleet.pools()) {
      long own = seed * 1_000 + fleet.pools().indexOf(pool) * 10;
      if (pool.kind == HostKind.EXECUTOR) {
        source(pool, true, SHORT_MILLIS, 1 - LONG_SHARE, own + 1);
        source(pool, false, LONG_EXECUTOR_MILLIS, LONG_SHARE, own + 2);
      } else {
        source(pool, false, LONG_WORKER_MILLIS, 1, own + 3);
      }
      if (pool.isSpare) {
        double runTime = pool.kind == HostKind.EXECUTOR ? LONG_EXECUTOR_MILLIS : LONG_WORKER_MILLIS;
        new WorkSource(
                this, events, pool, false, runTime, at -> demand.deferrable(pool.kind, at), own + 4)
            .scheduleNext();
      }
    }
  }

  private void source(SimPool pool, boolean isShort, double runTime, double share, long seed) {
    new WorkSource(
            this,
            events,
            pool,
            isShort,
            runTime,
            at -> share * demand.rotating(pool.kind, pool.service, at),
            seed)
        .scheduleNext();
  }

  void accept(Work work) {
    reports.count(work);
    dispatcher.arrive(work);
  }

  /** Runs to the end and returns the figures. */
  RunResult run() {
    setSpareNeeds(0);
    makePlan();
    events.every(FleetSizes.PLAN_INTERVAL, FleetSizes.PLAN_INTERVAL, this::makePlan);
    events.every(FleetSizes.SECOND, FleetSizes.SECOND, this::tick);
    events.at(FleetSizes.WAVE_START, lifecycle::startWave);
    if (faults.isEnabled()) {
      events.at(FaultPlan.RACK_LOSS_AT, this::loseRack);
    }
    events.runUntil(FleetSizes.RUN);
    return result();
  }

  /** Returns the report of the last plan that moved a host, or of the first plan if none did. */
  CapacityReport report() {
    return report;
  }

  private void loseRack() {
    long now = events.nowMillis();
    String rack = faults.lostRack(fleet.pools().size() * 2);
    fleet.hosts().stream()
        .filter(host -> host.rack.equals(rack) && host.state != HostState.LOST)
        .forEach(host -> lifecycle.lose(host, now, now + FaultPlan.RACK_LOSS));
  }

  private void tick() {
    long now = events.nowMillis();
    lifecycle.advance(now);
    lifecycle.takeForWave(List.copyOf(plan.paces().values()), now);
    setSpareNeeds(now);
    fleet.pools().forEach(pool -> bufferSeconds += bufferOf(pool, now));
  }

  private void setSpareNeeds(long now) {
    fleet.pools().stream()
        .filter(pool -> pool.isSpare)
        .forEach(pool -> dispatcher.setSpareNeed(pool.kind, need(pool, now)));
  }

  private double bufferOf(SimPool pool, long now) {
    int available = pool.count(HostState.AVAILABLE);
    long moving = pool.hosts.stream().filter(host -> host.target != null).count();
    if (pool.isSpare) {
      return moving + dispatcher.bufferInUse(pool);
    }
    return moving + Math.max(0, available - need(pool, now));
  }

  private int need(SimPool pool, long now) {
    double slots = NEED_FACTOR * demand.mean(pool.kind, pool.service, now);
    if (pool.isSpare) {
      int share = pool.kind == HostKind.EXECUTOR ? 2 : 1;
      slots += share * demand.deferrable(pool.kind, now);
    }
    return (int) Math.ceil(slots / pool.slotsPerHost);
  }

  private void makePlan() {
    long now = events.nowMillis();
    recentMoves.removeIf(move -> now - move.startedMillis() > FleetSizes.RUN);
    CapacityView view = view(now);
    plan = policy.plan(view, now);
    if (report == null || !plan.moves().isEmpty()) {
      report = CapacityReport.of(view, plan);
    }
    plan.bufferHosts().forEach(dispatcher::setBuffer);
    for (ProposedMove move : plan.moves()) {
      SimHost host =
          fleet.hosts().stream()
              .filter(each -> each.name.equals(move.host()))
              .findFirst()
              .orElseThrow();
      if (lifecycle.startMove(host, fleet.pool(move.toPool()), now)) {
        recentMoves.add(new RecentMove(move.host(), move.fromPool(), move.toPool(), now));
      }
    }
  }

  private CapacityView view(long now) {
    Predicate<SimHost> isMissing = host -> faults.isMissing(host, now);
    List<PoolView> pools =
        fleet.pools().stream()
            .map(
                pool ->
                    new PoolView(
                        pool.name,
                        pool.kind,
                        pool.isSpare,
                        pool.slotsPerHost,
                        lifecycle.isInWave(pool),
                        pool.hosts.stream().map(host -> host.view(isMissing.test(host))).toList(),
                        fleet.rooms(pool, isMissing),
                        forecaster.forecast(reports.samples(pool), now)))
            .toList();
    return new CapacityView(
        offset++, deployment.weights(), pools, recentMoves, faults.isListWrong(now));
  }

  private RunResult result() {
    boolean isWaveDone = lifecycle.waveEnd() >= 0;
    long waveEnd = isWaveDone ? lifecycle.waveEnd() : FleetSizes.RUN;
    return new RunResult(
        bufferSeconds / 3600,
        (waveEnd - FleetSizes.WAVE_START) / (double) FleetSizes.SECOND,
        lifecycle.moves(),
        dispatcher.shortWaits.getValueAtPercentile(50) / Dispatcher.UNITS_PER_MILLI,
        dispatcher.shortWaits.getValueAtPercentile(99) / Dispatcher.UNITS_PER_MILLI,
        dispatcher.headOfLineShare(),
        fleet.violations(),
        fleet.refusals(),
        dispatcher.longUnfinished());
  }
}
