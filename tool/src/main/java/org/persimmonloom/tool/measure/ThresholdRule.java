package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.persimmonloom.core.capacity.CapacityPlan;
import org.persimmonloom.core.capacity.CapacityPolicy;
import org.persimmonloom.core.capacity.CapacityView;
import org.persimmonloom.core.capacity.DemandSample;
import org.persimmonloom.core.capacity.DomainBudget;
import org.persimmonloom.core.capacity.HostView;
import org.persimmonloom.core.capacity.PoolView;
import org.persimmonloom.core.capacity.ProposedMove;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * Baseline: a threshold rule that reacts to demand, as common autoscalers are set up.
 *
 * <p>Set-up: load is the demand of the last window over the slots of the available hosts and of
 * those on their way. Above the high threshold a pool gets one host, from the spare pool while it
 * has more than the buffer, otherwise from the pool with the lowest load if that is below the low
 * threshold. A pool whose load stayed low throughout the longer window returns a host to the spare
 * pool. No pool gets below 4 hosts, half of its first size. Buffer, pace of waves, budgets, queue
 * discipline and the guard against a doubted host list are the same as for static allocation; the
 * rule does not act on a pool without recent reports.
 *
 * <p>The figures of the set-up are those with the best score of each deployment on a grid of 36
 * set-ups (windows of 30, 60 and 120 s, four pairs of thresholds, buffers of 1, 2 and 4 hosts) at
 * two seeds that the measurement does not use, 101 and 102.
 */
final class ThresholdRule implements CapacityPolicy {
  /**
   * Set-up of the rule.
   *
   * @param windowMillis span of demand that the load is the mean of
   * @param downWindowMillis span throughout which the load must be low before a host is given back
   * @param coolDownMillis least time between two moves at one pool
   * @param high load above which a pool gets a host
   * @param low load below which a pool may give a host up
   * @param bufferHosts hosts of the spare pool beyond its own need that are kept
   */
  record Setup(
      long windowMillis,
      long downWindowMillis,
      long coolDownMillis,
      double high,
      double low,
      int bufferHosts) {}

  private static final Setup DEPOT = new Setup(120_000, 240_000, 120_000, 0.6, 0.2, 4);
  private static final Setup BOT = new Setup(60_000, 240_000, 120_000, 0.8, 0.2, 4);

  private static final int LEAST_HOSTS = FleetSizes.HOSTS_PER_POOL / 2;

  private final Setup setup;
  private final Function<String, List<DemandSample>> reports;

  static ThresholdRule of(Deployment deployment, Function<String, List<DemandSample>> reports) {
    return new ThresholdRule(deployment == Deployment.DEPOT ? DEPOT : BOT, reports);
  }

  ThresholdRule(Setup setup, Function<String, List<DemandSample>> reports) {
    this.setup = setup;
    this.reports = reports;
  }

  private record Load(PoolView pool, double last, double highest, long hosts) {}

  @Override
  public CapacityPlan plan(CapacityView view, long nowMillis) {
    CapacityPlan fixed = StaticAllocation.withFixedPace(view, setup.bufferHosts());
    if (view.isMassEvent()) {
      return fixed;
    }
    List<ProposedMove> moves = new ArrayList<>();
    for (HostKind kind : HostKind.values()) {
      List<Load> loads =
          view.pools().stream()
              .filter(pool -> pool.kind() == kind)
              .flatMap(pool -> load(view, pool, nowMillis).stream())
              .toList();
      moveFor(view, loads, nowMillis).ifPresent(moves::add);
    }
    return new CapacityPlan(
        view.offset(), moves, fixed.bufferHosts(), fixed.paces(), fixed.poolDecisions());
  }

  private Optional<Load> load(CapacityView view, PoolView pool, long now) {
    List<DemandSample> samples = reports.apply(pool.name());
    long hosts =
        pool.hosts().stream()
                .filter(host -> host.state() == HostState.AVAILABLE && !host.isMovingOut())
                .count()
            + view.movingIn(pool.name());
    double slots = Math.max(1, hosts) * pool.slotsPerHost();
    double last = mean(samples, now - setup.windowMillis(), now) / slots;
    double highest = last;
    for (long end = now - setup.windowMillis();
        end > now - setup.downWindowMillis();
        end -= setup.windowMillis()) {
      highest = Math.max(highest, mean(samples, end - setup.windowMillis(), end) / slots);
    }
    return Double.isNaN(highest)
        ? Optional.empty()
        : Optional.of(new Load(pool, last, highest, hosts));
  }

  private static double mean(List<DemandSample> samples, long from, long to) {
    return samples.stream()
        .filter(sample -> sample.fromMillis() >= from && sample.toMillis() <= to)
        .mapToDouble(DemandSample::slots)
        .average()
        .orElse(Double.NaN);
  }

  private Optional<ProposedMove> moveFor(CapacityView view, List<Load> loads, long now) {
    List<Load> high =
        loads.stream()
            .filter(load -> !load.pool().isSpare() && load.last() > setup.high())
            .filter(load -> isCool(view, load.pool(), now))
            .sorted(Comparator.comparingDouble(Load::last).reversed())
            .toList();
    for (Load target : high) {
      Optional<Load> donor = donor(view, loads, target, now);
      if (donor.isPresent()) {
        return move(view, donor.get().pool(), target.pool());
      }
    }
    Optional<Load> spare = loads.stream().filter(load -> load.pool().isSpare()).findFirst();
    return spare.flatMap(
        to ->
            loads.stream()
                .filter(load -> !load.pool().isSpare() && load.highest() < setup.low())
                .filter(load -> canGive(load) && isCool(view, load.pool(), now))
                .min(Comparator.comparingDouble(Load::highest))
                .flatMap(from -> move(view, from.pool(), to.pool())));
  }

  private Optional<Load> donor(CapacityView view, List<Load> loads, Load target, long now) {
    Optional<Load> spare =
        loads.stream()
            .filter(load -> load.pool().isSpare())
            .filter(load -> load.hosts() > setup.bufferHosts())
            .findFirst();
    return spare.or(
        () ->
            loads.stream()
                .filter(load -> load != target && !load.pool().isSpare())
                .filter(load -> load.last() < setup.low() && canGive(load))
                .filter(load -> isCool(view, load.pool(), now))
                .min(Comparator.comparingDouble(Load::last)));
  }

  private static boolean canGive(Load load) {
    return load.hosts() > LEAST_HOSTS;
  }

  private boolean isCool(CapacityView view, PoolView pool, long now) {
    return view.recentMoves().stream()
        .filter(move -> now - move.startedMillis() < setup.coolDownMillis())
        .noneMatch(
            move -> move.fromPool().equals(pool.name()) || move.toPool().equals(pool.name()));
  }

  private static Optional<ProposedMove> move(CapacityView view, PoolView from, PoolView to) {
    return from.hosts().stream()
        .filter(host -> host.state() == HostState.AVAILABLE && !host.isMovingOut())
        .filter(host -> hasRoom(from, host) && hasRoom(to, host))
        .min(Comparator.comparing(HostView::busySlots).thenComparing(HostView::name))
        .map(
            host ->
                new ProposedMove(host.name(), from.name(), to.name(), view.offset(), "threshold"));
  }

  private static boolean hasRoom(PoolView pool, HostView host) {
    return pool.budgets().stream()
        .filter(room -> room.covers(host.rack(), host.dataCentre()))
        .mapToInt(DomainBudget::room)
        .allMatch(room -> room > 0);
  }
}
