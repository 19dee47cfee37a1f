package org.persimmonloom.core.job;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * Orders queued jobs for placement: urgent jobs first, by age; then jobs of the team with the
 * lowest dominant share of its quota, by age within a team.
 *
 * <p>The waiting time of a team's oldest job is subtracted from the team's share. This aging
 * prevents starvation: every job eventually comes first, however busy its team is. After each of
 * its jobs, a team is inserted again with its updated share. Not thread-safe.
 */
final class FairShareQueue {
  /** Waiting time that offsets the use of a whole quota. */
  static final long AGING_MILLIS = 30 * 60_000L;

  private static final Comparator<Job> BY_AGE =
      Comparator.comparingLong(Job::queuedMillis).thenComparing(Job::name);

  private final PlanningState state;
  private final long nowMillis;
  private final ArrayDeque<Job> urgent = new ArrayDeque<>();
  private final PriorityQueue<Team> teams =
      new PriorityQueue<>(Comparator.comparingDouble(Team::score).thenComparing(Team::name));
  private Team lastTeam;

  private record Team(String name, double score, ArrayDeque<Job> jobs) {}

  FairShareQueue(PlanningState state, long nowMillis) {
    this.state = state;
    this.nowMillis = nowMillis;
    Map<String, ArrayDeque<Job>> byTeam = new TreeMap<>();
    state.queued().stream()
        .sorted(BY_AGE)
        .forEach(
            job -> {
              if (job.spec().isUrgent()) {
                urgent.add(job);
              } else {
                byTeam.computeIfAbsent(job.spec().team(), unused -> new ArrayDeque<>()).add(job);
              }
            });
    byTeam.forEach(this::addTeam);
  }

  private void addTeam(String name, ArrayDeque<Job> jobs) {
    if (!jobs.isEmpty()) {
      Job oldest = jobs.peek();
      double share = state.used(oldest).dominantShare(state.quota(oldest));
      double agingCredit = (double) (nowMillis - oldest.queuedMillis()) / AGING_MILLIS;
      teams.add(new Team(name, share - agingCredit, jobs));
    }
  }

  /**
   * Returns the next job to place. The share of its team is computed again at the next call, so the
   * caller updates the planning state in between.
   */
  Optional<Job> next() {
    if (!urgent.isEmpty()) {
      return Optional.of(urgent.poll());
    }
    if (lastTeam != null) {
      addTeam(lastTeam.name(), lastTeam.jobs());
      lastTeam = null;
    }
    lastTeam = teams.poll();
    return lastTeam == null ? Optional.empty() : Optional.of(lastTeam.jobs().poll());
  }
}
