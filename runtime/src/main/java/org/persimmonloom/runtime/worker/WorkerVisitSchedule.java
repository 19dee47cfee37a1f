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
 * Selects the workers that this entry host visits in a tick. It visits the workers it owns at the
 * lease renewal interval, and in every tick while an attempt is waiting to be started or stopped.
 * It visits workers owned by other entry hosts when such an attempt has waited too long, or as the
 * backup of the owner. Confined to the controller's thread.
 */
final class WorkerVisitSchedule {
  /**
   * Interval at which the entry host of rank 1 visits a worker that has tasks, whether or not its
   * owner does. Half of the worker lease, so that a late detection of the owner's failure does not
   * let the lease of a task expire.
   */
  static final long BACKUP_VISIT_INTERVAL_MILLIS = LeaseRules.WORKER_LEASE_MILLIS / 2;

  private final String self;
  private final Map<String, Integer> ranks = new HashMap<>();
  private final Map<String, Long> waitingSinceMillis = new HashMap<>();
  private final Map<String, Long> lastVisitMillis = new HashMap<>();
  private List<String> entryHosts = List.of();

  /**
   * A worker to visit.
   *
   * @param isOwn whether this entry host owns the worker. Only the owner reports a worker as
   *     silent; a backup that can't reach the worker would repeatedly contradict the owner
   */
  record Target(String worker, String address, boolean isOwn) {}

  WorkerVisitSchedule(String self) {
    this.self = self;
  }

  /** Returns the workers to visit now. The caller holds the read lock of the fold. */
  List<Target> selectDue(FleetState fleet, long nowMillis) {
    List<String> live = fleet.entryHosts().live().stream().map(EntryHost::name).toList();
    if (!live.equals(entryHosts)) {
      entryHosts = live;
      ranks.clear();
    }
    List<Target> due = new ArrayList<>();
    for (Host host : fleet.hosts().all()) {
      if (host.facts().kind() == HostKind.WORKER && isDue(fleet, host.name(), nowMillis)) {
        lastVisitMillis.put(host.name(), nowMillis);
        due.add(new Target(host.name(), host.facts().address(), isOwn(host.name())));
      }
    }
    return due;
  }

  /** Returns the jobs on owned workers whose attempt's lease has certainly expired. */
  List<Job> jobsWithExpiredLease(FleetState fleet) {
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
    if (hasPendingStartOrStop(fleet, worker)) {
      long sinceMillis = waitingSinceMillis.computeIfAbsent(worker, unused -> nowMillis);
      return RendezvousRanking.mayAct(rank, nowMillis - sinceMillis);
    }
    waitingSinceMillis.remove(worker);
    boolean isBackup = rank == 1 && !fleet.jobs().liveAt(worker).isEmpty();
    if (rank != 0 && !isBackup) {
      return false;
    }
    Long lastMillis = lastVisitMillis.get(worker);
    long intervalMillis =
        isBackup ? BACKUP_VISIT_INTERVAL_MILLIS : LeaseRules.WORKER_RENEWAL_INTERVAL_MILLIS;
    return lastMillis == null || nowMillis - lastMillis >= intervalMillis;
  }

  private static boolean hasPendingStartOrStop(FleetState fleet, String worker) {
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
    return ranks.computeIfAbsent(
        worker, unused -> RendezvousRanking.rank(worker, self, entryHosts));
  }

  /** Returns this entry host's rank for planning placements. */
  int plannerRank() {
    return rank("job-planner");
  }

  /** Returns how long each queued urgent job has waited since it was last queued. */
  static List<Long> urgentWaitMillis(FleetState fleet, long nowMillis) {
    return fleet.jobs().queued().stream()
        .filter(job -> job.spec().isUrgent())
        .map(job -> nowMillis - job.sinceMillis())
        .toList();
  }
}
