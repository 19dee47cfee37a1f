package org.persimmonloom.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostLeaving;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostRemoved;
import org.persimmonloom.core.host.HostsUnlisted;
import org.persimmonloom.core.host.ProbationOver;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobFailed;
import org.persimmonloom.core.job.JobFinished;
import org.persimmonloom.core.job.JobLeaseExpired;
import org.persimmonloom.core.job.JobPlaced;
import org.persimmonloom.core.job.JobStopped;
import org.persimmonloom.core.job.LeaseRules;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.maintenance.MaintenanceCancelled;
import org.persimmonloom.core.release.ReleaseProposed;

/**
 * Tracks the accepted proposals in plain maps and checks the guarantees of the fleet against them.
 * It uses no state of the fold other than the results of proposals, except in {@link #compare}.
 */
final class FleetOracle {
  static final String POOL_BUDGET = "pool-a";
  static final String RACK_BUDGET = "racks";

  private final Map<String, Integer> budgets =
      new HashMap<>(Map.of(POOL_BUDGET, 2, RACK_BUDGET, 1));
  private final Map<String, HostFacts> facts = new TreeMap<>();
  private final Map<String, String> pools = new TreeMap<>();
  private final Map<String, String> moveTargets = new HashMap<>();
  private final Map<String, String> drainedForWave = new HashMap<>();
  private final Set<String> outOfService = new TreeSet<>();
  private final Set<String> unlisted = new HashSet<>();
  private final Map<String, JobPlaced> liveAttempts = new HashMap<>();
  private final Map<String, Long> placedMillis = new HashMap<>();
  private final Map<String, Integer> attemptCounts = new HashMap<>();
  private final Map<String, Long> boots = new HashMap<>();
  private long revision;

  /** Applies an accepted proposal to the maps and checks that accepting it was allowed. */
  void apply(ProposalResult result) {
    if (!result.isAccepted()) {
      return;
    }
    Proposal proposal = result.proposal();
    long nowMillis = result.position().timeMillis();
    if (proposal instanceof ReleaseProposed note) {
      applyRelease(note);
    } else if (proposal instanceof JobPlaced placed) {
      placeAttempt(placed, nowMillis);
    } else if (proposal instanceof JobLeaseExpired expired) {
      assertThat(nowMillis)
          .as("fold time at which the lease of job %s expired", expired.job())
          .isGreaterThanOrEqualTo(
              placedMillis.get(expired.job())
                  + LeaseRules.FOLD_LEASE_MILLIS
                  + LeaseRules.EXPIRY_MARGIN_MILLIS);
      endAttempt(expired.job(), expired.attempt());
    } else if (proposal instanceof JobFinished finished) {
      endAttempt(finished.job(), finished.attempt());
    } else if (proposal instanceof JobFailed failed) {
      endAttempt(failed.job(), failed.attempt());
    } else if (proposal instanceof JobStopped stopped) {
      endAttempt(stopped.job(), stopped.attempt());
    } else if (proposal instanceof WorkerRenewed renewed) {
      Long previousBoot = boots.put(renewed.worker(), renewed.boot());
      if (previousBoot != null && previousBoot < renewed.boot()) {
        liveAttempts.values().removeIf(placed -> placed.worker().equals(renewed.worker()));
      }
    } else {
      applyToHost(proposal);
    }
  }

  private void applyToHost(Proposal proposal) {
    if (proposal instanceof HostAdmitted admitted) {
      facts.put(admitted.facts().name(), admitted.facts());
      pools.putIfAbsent(admitted.facts().name(), admitted.facts().homePool());
    } else if (proposal instanceof DrainRequested drain) {
      assertThat(outOfService.add(drain.host())).as("%s was in service", drain.host()).isTrue();
      drainedForWave.put(drain.host(), drain.wave());
      checkBudgets(drain.host());
    } else if (proposal instanceof HostMoveRequested move) {
      assertThat(outOfService.add(move.host())).as("%s was in service", move.host()).isTrue();
      moveTargets.put(move.host(), move.targetPool());
      checkBudgets(move.host());
    } else if (proposal instanceof HostDown down) {
      drainedForWave.remove(down.host());
      checkBudgets(down.host());
    } else if (proposal instanceof HostMoved moved) {
      checkBudgets(moved.host());
      pools.put(moved.host(), moveTargets.remove(moved.host()));
      outOfService.remove(moved.host());
    } else if (proposal instanceof DrainCancelled cancelled) {
      drainedForWave.remove(cancelled.host());
      outOfService.remove(cancelled.host());
    } else if (proposal instanceof ProbationOver over) {
      outOfService.remove(over.host());
    } else if (proposal instanceof MaintenanceCancelled cancelled) {
      outOfService.removeIf(host -> cancelled.wave().equals(drainedForWave.get(host)));
      drainedForWave.values().removeIf(cancelled.wave()::equals);
    } else {
      applyLoss(proposal);
    }
  }

  private void applyLoss(Proposal proposal) {
    if (proposal instanceof HostLeaving leaving) {
      outOfService.add(leaving.host());
    } else if (proposal instanceof HostLost lost) {
      outOfService.add(lost.host());
      unlisted.remove(lost.host());
      drainedForWave.remove(lost.host());
    } else if (proposal instanceof HostRemoved removed) {
      facts.remove(removed.host());
      pools.remove(removed.host());
      outOfService.remove(removed.host());
      unlisted.remove(removed.host());
      drainedForWave.remove(removed.host());
    } else if (proposal instanceof HostsUnlisted change && change.isUnlisted()) {
      change.hosts().stream().filter(pools::containsKey).forEach(unlisted::add);
    } else if (proposal instanceof HostsUnlisted change) {
      change.hosts().forEach(unlisted::remove);
    }
  }

  private void applyRelease(ReleaseProposed note) {
    assertThat(note.basedOn())
        .as("revision on which the accepted note is based")
        .isEqualTo(revision);
    revision++;
    if (note.operator().startsWith("lower ")) {
      String[] words = note.operator().split(" ");
      budgets.put(words[1], Integer.valueOf(words[2]));
    }
  }

  private void placeAttempt(JobPlaced placed, long nowMillis) {
    assertThat(liveAttempts.putIfAbsent(placed.job(), placed)).as("other live attempt").isNull();
    int previousAttempts = attemptCounts.merge(placed.job(), 1, Integer::sum) - 1;
    assertThat(placed.attempt()).as("number of the attempt").isEqualTo(previousAttempts + 1);
    placedMillis.put(placed.job(), nowMillis);
  }

  private void endAttempt(String job, int attempt) {
    JobPlaced ended = liveAttempts.remove(job);
    assertThat(ended).as("live attempt of %s", job).isNotNull();
    assertThat(ended.attempt()).as("attempt that ended").isEqualTo(attempt);
  }

  /**
   * Checks the budgets of the pool and the rack of a host; both count the hosts of its pool only.
   */
  private void checkBudgets(String host) {
    String pool = pools.get(host);
    String rack = facts.get(host).rack();
    if (pool.equals("a")) {
      assertThat(pools.keySet())
          .filteredOn(name -> pools.get(name).equals(pool) && isUnavailable(name))
          .as("unavailable in pool %s", pool)
          .hasSizeLessThanOrEqualTo(budgets.get(POOL_BUDGET));
    }
    assertThat(pools.keySet())
        .filteredOn(name -> pools.get(name).equals(pool) && isUnavailable(name))
        .filteredOn(name -> facts.get(name).rack().equals(rack))
        .as("unavailable in rack %s of pool %s", rack, pool)
        .hasSizeLessThanOrEqualTo(budgets.get(RACK_BUDGET));
  }

  private boolean isUnavailable(String host) {
    return outOfService.contains(host) || unlisted.contains(host);
  }

  /** Compares the state of the fold with the maps. */
  void compare(FleetState state) {
    assertThat(state.releases().current().number()).as("revision").isEqualTo(revision);
    Map<String, String> members = new TreeMap<>();
    for (String pool : FleetSimulation.POOLS) {
      for (Host host : state.hosts().inPool(pool)) {
        assertThat(members.put(host.name(), pool)).as("second pool of %s", host.name()).isNull();
      }
    }
    assertThat(members).as("the one pool of each host").isEqualTo(pools);
    for (Host host : state.hosts().all()) {
      assertThat(host.isUnavailable())
          .as("%s is out of service", host)
          .isEqualTo(isUnavailable(host.name()));
    }
    for (String name : attemptCounts.keySet()) {
      Integer expected = liveAttempts.containsKey(name) ? liveAttempts.get(name).attempt() : null;
      Job job = state.jobs().find(name).orElse(null);
      Integer actual = job == null || job.live() == null ? null : job.live().number();
      assertThat(actual).as("live attempt of %s", name).isEqualTo(expected);
    }
  }
}
