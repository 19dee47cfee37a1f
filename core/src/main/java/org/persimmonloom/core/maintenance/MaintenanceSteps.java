package org.persimmonloom.core.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostLifecycle;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.host.ProbationOver;

/**
 * The steps of waves and moves that are due, computed from the fold by every entry host alike.
 *
 * <p>The fold decides each step again, so a step that is proposed twice or late has no effect.
 * Holds no state; callers hold the read lock of the replica.
 */
public final class MaintenanceSteps {
  /** A drain for a move that takes longer than this is given up; the planner may try another. */
  public static final long MOVE_DRAIN_LIMIT_MILLIS = 30 * 60_000L;

  private final HostTable hosts;
  private final WaveTable waves;
  private final AvailabilityBudgets budgets;

  /** Creates the planner of steps over the tables of one fold. */
  public MaintenanceSteps(HostTable hosts, WaveTable waves, AvailabilityBudgets budgets) {
    this.hosts = hosts;
    this.waves = waves;
    this.budgets = budgets;
  }

  /**
   * A step that is due.
   *
   * @param host the host that it is about
   */
  public record Step(String subject, Proposal proposal) {}

  /** Returns the steps that are due, first those that give capacity back. */
  public List<Step> dueSteps(long nowMillis) {
    List<Step> steps = new ArrayList<>();
    List<String> cancelled = cancellations(nowMillis, steps);
    for (Host host : hosts.all()) {
      if (!cancelled.contains(host.name())) {
        next(host, nowMillis).ifPresent(step -> steps.add(new Step(host.name(), step)));
      }
    }
    waves.openWaves().forEach(wave -> grants(wave, nowMillis, steps));
    return steps;
  }

  private Optional<Proposal> next(Host host, long nowMillis) {
    return switch (host.state()) {
      case DRAINED -> afterDrain(host);
      case DOWN ->
          nowMillis >= HostLifecycle.returnDeadlineMillis(host)
              ? Optional.of(
                  new HostLost(
                      host.name(),
                      host.stateOffset(),
                      "down for " + (nowMillis - host.stateMillis()) + " ms"))
              : Optional.empty();
      case RETURNED ->
          nowMillis - host.stateMillis() >= HostLifecycle.probationMillis(host)
              ? Optional.of(new ProbationOver(host.name(), host.stateOffset()))
              : Optional.empty();
      default -> Optional.empty();
    };
  }

  private static Optional<Proposal> afterDrain(Host host) {
    return switch (host.drain().cause()) {
      case WAVE -> Optional.of(new HostDown(host.name(), host.drain().offset()));
      case MOVE -> Optional.of(new HostMoved(host.name(), host.drain().offset()));
      case LEAVING -> Optional.empty();
    };
  }

  /**
   * Adds the drains to give up: the latest ones of each budget that does not hold, no more than it
   * is exceeded by, and those that can't be completed any more.
   */
  private List<String> cancellations(long nowMillis, List<Step> steps) {
    List<Host> drains =
        new ArrayList<>(hosts.all().stream().filter(MaintenanceSteps::isCancellable).toList());
    drains.sort(Comparator.comparingLong((Host host) -> host.drain().offset()).reversed());
    TreeMap<String, Integer> excess = new TreeMap<>();
    List<String> cancelled = new ArrayList<>();
    for (Host host : drains) {
      Optional<String> reason = pointless(host, nowMillis).or(() -> exceeded(host, excess));
      if (reason.isPresent()) {
        budgets.groupsOf(host).forEach(group -> lower(excess, group));
        cancelled.add(host.name());
        steps.add(
            new Step(
                host.name(), new DrainCancelled(host.name(), host.drain().offset(), reason.get())));
      }
    }
    return cancelled;
  }

  private static boolean isCancellable(Host host) {
    return host.drain() != null
        && host.drain().isPlanned()
        && (host.state() == HostState.DRAINING || host.state() == HostState.DRAINED);
  }

  private Optional<String> exceeded(Host host, TreeMap<String, Integer> excess) {
    for (BudgetGroup group : budgets.groupsOf(host)) {
      int over = excess.computeIfAbsent(group.key(), unused -> -budgets.use(group).room());
      if (over > 0) {
        return Optional.of("budget " + group.key() + " is exceeded by " + over);
      }
    }
    return Optional.empty();
  }

  private void lower(TreeMap<String, Integer> excess, BudgetGroup group) {
    int over = excess.computeIfAbsent(group.key(), unused -> -budgets.use(group).room());
    excess.put(group.key(), over - 1);
  }

  private Optional<String> pointless(Host host, long nowMillis) {
    Drain drain = host.drain();
    if (drain.cause() == Drain.Cause.MOVE) {
      boolean isTargetGone = hosts.pool(drain.owner()).isEmpty();
      boolean isTooLong = nowMillis - host.stateMillis() > MOVE_DRAIN_LIMIT_MILLIS;
      if (isTargetGone || isTooLong) {
        return Optional.of(
            isTargetGone ? "pool " + drain.owner() + " was withdrawn" : "the drain takes too long");
      }
      return Optional.empty();
    }
    boolean isLate =
        waves
            .find(drain.owner())
            .map(wave -> nowMillis + drain.expectedDownMillis() > wave.request().windowEndMillis())
            .orElse(true);
    return isLate ? Optional.of("the window of wave " + drain.owner() + " ends") : Optional.empty();
  }

  private void grants(Wave wave, long nowMillis, List<Step> steps) {
    if (waves.checkWave(wave, nowMillis).isPresent()) {
      return;
    }
    List<Host> busy = waves.inProgressHosts(wave);
    int free = wave.request().maxAtOnce() - busy.size();
    List<String> assumed = new ArrayList<>();
    TreeMap<String, String> rackByPool = new TreeMap<>();
    // A heap, because only the first few of up to 4,200 hosts are needed with each look.
    PriorityQueue<Host> pending = new PriorityQueue<>(HostOrder.BY_RACK);
    pending.addAll(waves.pendingHosts(wave));
    while (!pending.isEmpty() && assumed.size() < free) {
      Host host = pending.remove();
      String rack = HostOrder.rackOf(host);
      boolean isInTurn = rack.equals(rackByPool.getOrDefault(host.pool(), rack));
      if (isInTurn && isGrantable(wave, host, busy, assumed)) {
        rackByPool.put(host.pool(), rack);
        assumed.add(host.name());
        steps.add(new Step(host.name(), new DrainRequested(host.name(), wave.name())));
      }
    }
  }

  private boolean isGrantable(Wave wave, Host host, List<Host> busy, List<String> assumed) {
    return !host.isUnavailable()
        && waves.checkHost(wave, host, busy).isEmpty()
        && budgets.check(host, assumed).isEmpty();
  }
}
