package org.persimmonloom.core.maintenance;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostLifecycle;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The expected course of a wave, computed before it starts to check that the window and the budgets
 * allow it.
 *
 * <p>The wave is simulated in rounds under the rules that grant drains: rack by rack within each
 * pool, at most {@code maxAtOnce} hosts, every budget kept with the current unplanned losses. All
 * hosts of a round take one step, so the needed time is exact if each step takes {@link
 * #stepMillis} and an estimate otherwise. Hosts of other waves are not counted; overlapping waves
 * make each other longer.
 *
 * @param hosts number of hosts to maintain
 * @param rounds number of consecutive rounds, of one step each
 * @param peakAtOnce largest number of hosts that are unavailable for the wave at once
 * @param stepMillis time of one host from the start of its drain to the end of its probation
 * @param neededMillis time of all rounds
 * @param windowMillis time that the window allows
 * @param hostsPerDay rate that maintains all hosts within the window
 */
public record MaintenancePlan(
    int hosts,
    int rounds,
    int peakAtOnce,
    long stepMillis,
    long neededMillis,
    long windowMillis,
    double hostsPerDay) {
  /** Period in which every host has to be maintained once. */
  public static final long CYCLE_MILLIS = 21L * 24 * 60 * 60_000;

  /** Time allowed for a drain: the longest deadline of a short request, including its retries. */
  public static final long DRAIN_MILLIS = 60_000;

  private static final long DAY_MILLIS = 24L * 60 * 60_000;

  /** The budgets that the plan must keep. */
  public interface Budgets {
    /** Returns the budget groups that count a host. */
    List<BudgetGroup> groupsOf(Host host);

    /** Returns how many hosts of a group are unplanned losses. */
    int unplanned(BudgetGroup group);
  }

  /** Returns whether the window is long enough. */
  public boolean fits() {
    return neededMillis <= windowMillis;
  }

  /** Returns the time of one host from the start of its drain to the end of its probation. */
  public static long stepMillis(long expectedDownMillis) {
    long probation =
        Math.max(
            HostLifecycle.MIN_PROBATION_MILLIS,
            Math.min(HostLifecycle.MAX_PROBATION_MILLIS, expectedDownMillis));
    return DRAIN_MILLIS + expectedDownMillis + probation;
  }

  /**
   * Returns the plan, or {@link ResultCode#BUDGET_EXHAUSTED} if a budget allows no host at all.
   * {@link #fits()} then states whether the window is long enough.
   */
  public static Either<Failure, MaintenancePlan> of(
      List<Host> hosts,
      Budgets budgets,
      int maxAtOnce,
      long expectedDownMillis,
      long windowMillis) {
    long stepMillis = stepMillis(expectedDownMillis);
    List<Candidate> ordered = new ArrayList<>();
    hosts.stream()
        .sorted(HostOrder.BY_RACK)
        .forEach(host -> ordered.add(new Candidate(host, budgets.groupsOf(host))));
    LinkedList<Candidate> remaining = new LinkedList<>(ordered);
    Map<String, Integer> roomByGroup = roomByGroup(ordered, budgets);
    int rounds = 0;
    int peak = 0;
    while (!remaining.isEmpty()) {
      int granted = simulateRound(remaining, roomByGroup, maxAtOnce).size();
      if (granted == 0) {
        return Either.left(blockingFailure(remaining.getFirst(), roomByGroup, maxAtOnce));
      }
      rounds++;
      peak = Math.max(peak, granted);
    }
    double hostsPerDay = windowMillis <= 0 ? 0 : hosts.size() * (double) DAY_MILLIS / windowMillis;
    return Either.right(
        new MaintenancePlan(
            hosts.size(),
            rounds,
            peak,
            stepMillis,
            rounds * stepMillis,
            windowMillis,
            hostsPerDay));
  }

  /**
   * Returns the hosts of each round of a wave. Hosts in progress are placed before pending ones.
   * Hosts that no budget allows to drain are in no round; those that remain after {@code maxRounds}
   * are all in the last one.
   */
  static List<List<Host>> rounds(
      List<Host> inProgress, List<Host> pending, Budgets budgets, int maxAtOnce, int maxRounds) {
    LinkedList<Candidate> remaining = new LinkedList<>();
    for (List<Host> hosts : List.of(inProgress, pending)) {
      hosts.stream()
          .sorted(HostOrder.BY_RACK)
          .forEach(host -> remaining.add(new Candidate(host, budgets.groupsOf(host))));
    }
    Map<String, Integer> roomByGroup = roomByGroup(remaining, budgets);
    List<List<Host>> rounds = new ArrayList<>();
    while (!remaining.isEmpty() && rounds.size() < maxRounds) {
      List<Host> granted = simulateRound(remaining, roomByGroup, maxAtOnce);
      if (granted.isEmpty()) {
        return rounds;
      }
      rounds.add(granted);
    }
    if (!remaining.isEmpty()) {
      List<Host> last = rounds.get(rounds.size() - 1);
      remaining.forEach(candidate -> last.add(candidate.host()));
    }
    return rounds;
  }

  private record Candidate(Host host, List<String> groups, List<Integer> limits) {
    Candidate(Host host, List<BudgetGroup> groups) {
      this(
          host,
          groups.stream().map(BudgetGroup::key).toList(),
          groups.stream().map(BudgetGroup::maxUnavailable).toList());
    }
  }

  private static Map<String, Integer> roomByGroup(List<Candidate> candidates, Budgets budgets) {
    Map<String, Integer> roomByGroup = new TreeMap<>();
    for (Candidate candidate : candidates) {
      for (BudgetGroup group : budgets.groupsOf(candidate.host())) {
        roomByGroup.computeIfAbsent(
            group.key(), unused -> group.maxUnavailable() - budgets.unplanned(group));
      }
    }
    return roomByGroup;
  }

  private static List<Host> simulateRound(
      LinkedList<Candidate> remaining, Map<String, Integer> roomByGroup, int maxAtOnce) {
    Map<String, String> rackByPool = new TreeMap<>();
    Map<String, Integer> usedByGroup = new TreeMap<>();
    List<Host> granted = new ArrayList<>();
    Iterator<Candidate> candidates = remaining.iterator();
    while (candidates.hasNext() && granted.size() < maxAtOnce) {
      Candidate candidate = candidates.next();
      String rack = HostOrder.rackOf(candidate.host());
      boolean isInCurrentRack = rack.equals(rackByPool.getOrDefault(candidate.host().pool(), rack));
      boolean hasRoom =
          candidate.groups().stream()
              .allMatch(group -> roomByGroup.get(group) > usedByGroup.getOrDefault(group, 0));
      if (isInCurrentRack && hasRoom) {
        candidate.groups().forEach(group -> usedByGroup.merge(group, 1, Integer::sum));
        rackByPool.put(candidate.host().pool(), rack);
        candidates.remove();
        granted.add(candidate.host());
      }
    }
    return granted;
  }

  private static Failure blockingFailure(
      Candidate first, Map<String, Integer> roomByGroup, int maxAtOnce) {
    for (int index = 0; index < first.groups().size(); index++) {
      String group = first.groups().get(index);
      if (roomByGroup.get(group) <= 0) {
        return Failure.of(
            ResultCode.BUDGET_EXHAUSTED, group, first.limits().get(index), "unplanned losses");
      }
    }
    return Failure.of(ResultCode.USAGE, "max at once must be at least 1, not " + maxAtOnce);
  }
}
