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
 * Computes from the fold which steps of waves and moves are due. Every entry host computes the same
 * steps.
 *
 * <p>The fold checks each step again, so a step that is proposed twice or late has no effect.
 * Stateless; callers hold the read lock of the replica.
 */
public final class MaintenanceSteps {
  /** A drain for a move is cancelled after this time; the planner may then propose another move. */
  public static final long MOVE_DRAIN_LIMIT_MILLIS = 30 * 60_000L;

  private final HostTable hosts;
  private final WaveTable waves;
  private final AvailabilityBudgets budgets;

  /** Creates an instance over the tables of one fold. */
  public MaintenanceSteps(HostTable hosts, WaveTable waves, AvailabilityBudgets budgets) {
    this.hosts = hosts;
    this.waves = waves;
    this.budgets = budgets;
  }

  /**
   * A step that is due.
   *
   * @param subject the name of the host, or of the group of hosts, that the step concerns
   */
  public record Step(String subject, Proposal proposal) {}

  /** Returns the steps that are due; those that return capacity come first. */
  public List<Step> dueSteps(long nowMillis) {
    List<Step> steps = new ArrayList<>();
    List<String> cancelled = addCancellations(nowMillis, steps);
    for (Host host : hosts.all()) {
      if (!cancelled.contains(host.name())) {
        nextStep(host, nowMillis).ifPresent(proposal -> steps.add(new Step(host.name(), proposal)));
      }
    }
    waves.openWaves().forEach(wave -> addDrainRequests(wave, nowMillis, steps));
    return steps;
  }

  private Optional<Proposal> nextStep(Host host, long nowMillis) {
    return switch (host.state()) {
      case DRAINED -> stepAfterDrain(host);
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

  private static Optional<Proposal> stepAfterDrain(Host host) {
    return switch (host.drain().cause()) {
      case WAVE -> Optional.of(new HostDown(host.name(), host.drain().offset()));
      case MOVE -> Optional.of(new HostMoved(host.name(), host.drain().offset()));
      case LEAVING -> Optional.empty();
    };
  }

  /**
   * Adds the cancellations of drains that can no longer be completed, and for each exceeded budget
   * those of its latest drains, no more than the excess. Returns the names of the hosts.
   */
  private List<String> addCancellations(long nowMillis, List<Step> steps) {
    List<Host> drains =
        new ArrayList<>(hosts.all().stream().filter(MaintenanceSteps::isCancellable).toList());
    drains.sort(Comparator.comparingLong((Host host) -> host.drain().offset()).reversed());
    TreeMap<String, Integer> excess = new TreeMap<>();
    List<String> cancelled = new ArrayList<>();
    for (Host host : drains) {
      Optional<String> reason =
          obsoleteReason(host, nowMillis).or(() -> excessReason(host, excess));
      if (reason.isPresent()) {
        budgets.groupsOf(host).forEach(group -> reduceExcess(excess, group));
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

  private Optional<String> excessReason(Host host, TreeMap<String, Integer> excess) {
    for (BudgetGroup group : budgets.groupsOf(host)) {
      int over = excess.computeIfAbsent(group.key(), unused -> -budgets.use(group).room());
      if (over > 0) {
        return Optional.of("budget " + group.key() + " is exceeded by " + over);
      }
    }
    return Optional.empty();
  }

  private void reduceExcess(TreeMap<String, Integer> excess, BudgetGroup group) {
    int over = excess.computeIfAbsent(group.key(), unused -> -budgets.use(group).room());
    excess.put(group.key(), over - 1);
  }

  private Optional<String> obsoleteReason(Host host, long nowMillis) {
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

  private void addDrainRequests(Wave wave, long nowMillis, List<Step> steps) {
    if (waves.checkWave(wave, nowMillis).isPresent()) {
      return;
    }
    List<Host> inProgress = waves.inProgressHosts(wave);
    int free = wave.request().maxAtOnce() - inProgress.size();
    List<String> selected = new ArrayList<>();
    TreeMap<String, String> rackByPool = new TreeMap<>();
    // A heap avoids sorting up to 4,200 hosts of which only the first few are needed.
    PriorityQueue<Host> pending = new PriorityQueue<>(HostOrder.BY_RACK);
    pending.addAll(waves.pendingHosts(wave));
    while (!pending.isEmpty() && selected.size() < free) {
      Host host = pending.remove();
      String rack = HostOrder.rackOf(host);
      boolean isInCurrentRack = rack.equals(rackByPool.getOrDefault(host.pool(), rack));
      if (isInCurrentRack && isGrantable(wave, host, inProgress, selected)) {
        rackByPool.put(host.pool(), rack);
        selected.add(host.name());
        steps.add(new Step(host.name(), new DrainRequested(host.name(), wave.name())));
      }
    }
  }

  private boolean isGrantable(Wave wave, Host host, List<Host> inProgress, List<String> selected) {
    return !host.isUnavailable()
        && waves.checkHost(wave, host, inProgress).isEmpty()
        && budgets.check(host, selected).isEmpty();
  }
}
