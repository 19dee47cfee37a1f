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
 * What the guarantees of the fleet allow, in plain maps that follow the accepted proposals. It
 * reads nothing of the fold but its results, except to compare the results.
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
  private final Set<String> out = new TreeSet<>();
  private final Set<String> unlisted = new HashSet<>();
  private final Map<String, JobPlaced> live = new HashMap<>();
  private final Map<String, Long> placedMillis = new HashMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, Long> boots = new HashMap<>();
  private long revision;

  /** Follows a result and checks that the proposal was allowed if it was accepted. */
  void follow(ProposalResult result) {
    if (!result.isAccepted()) {
      return;
    }
    Proposal proposal = result.proposal();
    long nowMillis = result.position().timeMillis();
    if (proposal instanceof ReleaseProposed note) {
      release(note);
    } else if (proposal instanceof JobPlaced placed) {
      place(placed, nowMillis);
    } else if (proposal instanceof JobLeaseExpired expired) {
      assertThat(nowMillis)
          .as("job %s given up during its lease", expired.job())
          .isGreaterThanOrEqualTo(
              placedMillis.get(expired.job())
                  + LeaseRules.FOLD_LEASE_MILLIS
                  + LeaseRules.EXPIRY_MARGIN_MILLIS);
      end(expired.job(), expired.attempt());
    } else if (proposal instanceof JobFinished finished) {
      end(finished.job(), finished.attempt());
    } else if (proposal instanceof JobFailed failed) {
      end(failed.job(), failed.attempt());
    } else if (proposal instanceof JobStopped stopped) {
      end(stopped.job(), stopped.attempt());
    } else if (proposal instanceof WorkerRenewed renewed) {
      Long former = boots.put(renewed.worker(), renewed.boot());
      if (former != null && former < renewed.boot()) {
        live.values().removeIf(it -> it.worker().equals(renewed.worker()));
      }
    } else {
      followHost(proposal);
    }
  }

  private void followHost(Proposal proposal) {
    if (proposal instanceof HostAdmitted admitted) {
      facts.put(admitted.facts().name(), admitted.facts());
      pools.putIfAbsent(admitted.facts().name(), admitted.facts().homePool());
    } else if (proposal instanceof DrainRequested drain) {
      assertThat(out.add(drain.host())).as("%s was in service", drain.host()).isTrue();
      drainedForWave.put(drain.host(), drain.wave());
      checkBudgets(drain.host());
    } else if (proposal instanceof HostMoveRequested move) {
      assertThat(out.add(move.host())).as("%s was in service", move.host()).isTrue();
      moveTargets.put(move.host(), move.targetPool());
      checkBudgets(move.host());
    } else if (proposal instanceof HostDown down) {
      drainedForWave.remove(down.host());
      checkBudgets(down.host());
    } else if (proposal instanceof HostMoved moved) {
      checkBudgets(moved.host());
      pools.put(moved.host(), moveTargets.remove(moved.host()));
      out.remove(moved.host());
    } else if (proposal instanceof DrainCancelled cancelled) {
      drainedForWave.remove(cancelled.host());
      out.remove(cancelled.host());
    } else if (proposal instanceof ProbationOver over) {
      out.remove(over.host());
    } else if (proposal instanceof MaintenanceCancelled cancelled) {
      out.removeIf(host -> cancelled.wave().equals(drainedForWave.get(host)));
      drainedForWave.values().removeIf(cancelled.wave()::equals);
    } else {
      followLoss(proposal);
    }
  }

  private void followLoss(Proposal proposal) {
    if (proposal instanceof HostLeaving leaving) {
      out.add(leaving.host());
    } else if (proposal instanceof HostLost lost) {
      out.add(lost.host());
      unlisted.remove(lost.host());
      drainedForWave.remove(lost.host());
    } else if (proposal instanceof HostRemoved removed) {
      facts.remove(removed.host());
      pools.remove(removed.host());
      out.remove(removed.host());
      unlisted.remove(removed.host());
      drainedForWave.remove(removed.host());
    } else if (proposal instanceof HostsUnlisted change && change.isUnlisted()) {
      change.hosts().stream().filter(pools::containsKey).forEach(unlisted::add);
    } else if (proposal instanceof HostsUnlisted change) {
      change.hosts().forEach(unlisted::remove);
    }
  }

  private void release(ReleaseProposed note) {
    assertThat(note.basedOn()).as("revision that the accepted note saw").isEqualTo(revision);
    revision++;
    if (note.operator().startsWith("lower ")) {
      String[] words = note.operator().split(" ");
      budgets.put(words[1], Integer.valueOf(words[2]));
    }
  }

  private void place(JobPlaced placed, long nowMillis) {
    assertThat(live.putIfAbsent(placed.job(), placed)).as("other live attempt").isNull();
    int former = attempts.merge(placed.job(), 1, Integer::sum) - 1;
    assertThat(placed.attempt()).as("number of the attempt").isEqualTo(former + 1);
    placedMillis.put(placed.job(), nowMillis);
  }

  private void end(String job, int attempt) {
    JobPlaced ended = live.remove(job);
    assertThat(ended).as("live attempt of %s", job).isNotNull();
    assertThat(ended.attempt()).as("attempt that ended").isEqualTo(attempt);
  }

  /** Both budgets count a host while it is in its pool. */
  private void checkBudgets(String host) {
    String pool = pools.get(host);
    String rack = facts.get(host).rack();
    if (pool.equals("a")) {
      assertThat(pools.keySet())
          .filteredOn(it -> pools.get(it).equals(pool) && isUnavailable(it))
          .as("unavailable in pool %s", pool)
          .hasSizeLessThanOrEqualTo(budgets.get(POOL_BUDGET));
    }
    assertThat(pools.keySet())
        .filteredOn(it -> pools.get(it).equals(pool) && isUnavailable(it))
        .filteredOn(it -> facts.get(it).rack().equals(rack))
        .as("unavailable in rack %s of pool %s", rack, pool)
        .hasSizeLessThanOrEqualTo(budgets.get(RACK_BUDGET));
  }

  private boolean isUnavailable(String host) {
    return out.contains(host) || unlisted.contains(host);
  }

  /** Compares the fold with the maps. */
  void compare(FleetState state) {
    assertThat(state.releases().current().number()).as("revision").isEqualTo(revision);
    Map<String, String> members = new TreeMap<>();
    for (String pool : FleetWorld.POOLS) {
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
    for (String job : attempts.keySet()) {
      Integer known = live.containsKey(job) ? live.get(job).attempt() : null;
      Job folded = state.jobs().find(job).orElse(null);
      Integer actual = folded == null || folded.live() == null ? null : folded.live().number();
      assertThat(actual).as("live attempt of %s", job).isEqualTo(known);
    }
  }
}
