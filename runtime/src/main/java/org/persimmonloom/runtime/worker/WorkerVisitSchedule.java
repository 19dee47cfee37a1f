package org.persimmonloom.runtime.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.job.Attempt;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobState;
import org.persimmonloom.core.job.LeaseRules;
import org.persimmonloom.core.job.RendezvousRanking;
import org.persimmonloom.core.member.EntryHost;

/**
 * Chooses the workers that this entry host visits at a tick: its own ones at the renewal period,
 * and at each tick those where an attempt waits for a start or a stop. Other hosts' workers are
 * visited when such an attempt has waited for too long. Confined to the controller's thread.
 */
final class WorkerVisitSchedule {
  /**
   * How often the next host in rank visits a worker with tasks, whether or not its owner does. Half
   * of the worker's lease, so that no task ends because the loss of its owner is noticed late.
   */
  static final long BACKUP_EVERY_MILLIS = LeaseRules.WORKER_LEASE_MILLIS / 2;

  private final String self;
  private final Map<String, Integer> ranks = new HashMap<>();
  private final Map<String, Long> waitingSince = new HashMap<>();
  private final Map<String, Long> visited = new HashMap<>();
  private List<String> entryHosts = List.of();

  /**
   * A worker to visit.
   *
   * @param isOwn whether this host owns it; only the owner reports it silent, because a backup that
   *     is cut off from it would contradict the owner again and again
   */
  record Target(String worker, String address, boolean isOwn) {}

  WorkerVisitSchedule(String self) {
    this.self = self;
  }

  /** Returns the workers to visit now; call it under the lock of the fold. */
  List<Target> due(FleetState fleet, long nowMillis) {
    List<String> live = fleet.entryHosts().live().stream().map(EntryHost::name).toList();
    if (!live.equals(entryHosts)) {
      entryHosts = live;
      ranks.clear();
    }
    List<Target> due = new ArrayList<>();
    for (Host host : fleet.hosts().all()) {
      if (host.facts().kind() == HostKind.WORKER && isDue(fleet, host.name(), nowMillis)) {
        visited.put(host.name(), nowMillis);
        due.add(new Target(host.name(), host.facts().address(), isOwn(host.name())));
      }
    }
    return due;
  }

  /** Returns the attempts at own workers whose lease is certainly over. */
  List<Job> expired(FleetState fleet) {
    List<Job> expired = new ArrayList<>();
    for (Host host : fleet.hosts().all()) {
      if (host.facts().kind() == HostKind.WORKER && isOwn(host.name())) {
        fleet.jobs().liveAt(host.name()).stream()
            .filter(job -> LeaseRules.isCertainlyExpired(job.live(), fleet.timeMillis()))
            .forEach(expired::add);
      }
    }
    return expired;
  }

  private boolean isDue(FleetState fleet, String worker, long nowMillis) {
    int rank = rank(worker);
    if (isWaiting(fleet, worker)) {
      long since = waitingSince.computeIfAbsent(worker, unused -> nowMillis);
      return RendezvousRanking.mayAct(rank, nowMillis - since);
    }
    waitingSince.remove(worker);
    boolean isBackup = rank == 1 && !fleet.jobs().liveAt(worker).isEmpty();
    if (rank != 0 && !isBackup) {
      return false;
    }
    Long last = visited.get(worker);
    long everyMillis = isBackup ? BACKUP_EVERY_MILLIS : LeaseRules.WORKER_RENEWAL_INTERVAL_MILLIS;
    return last == null || nowMillis - last >= everyMillis;
  }

  private static boolean isWaiting(FleetState fleet, String worker) {
    for (Job job : fleet.jobs().liveAt(worker)) {
      if (job.state() == JobState.PLACED || job.live().stop() != Attempt.Stop.NONE) {
        return true;
      }
    }
    return false;
  }

  private boolean isOwn(String worker) {
    return rank(worker) == 0;
  }

  private int rank(String worker) {
    return ranks.computeIfAbsent(worker, it -> RendezvousRanking.rank(it, self, entryHosts));
  }

  /** Returns this host's rank as planner of placements. */
  int plannerRank() {
    return rank("job-planner");
  }

  /** Returns how long each queued urgent job has waited since it was last queued. */
  static List<Long> urgentWaits(FleetState fleet, long nowMillis) {
    return fleet.jobs().queued().stream()
        .filter(job -> job.spec().isUrgent())
        .map(job -> nowMillis - job.sinceMillis())
        .toList();
  }
}
