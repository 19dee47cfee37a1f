package org.persimmonloom.core.job;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The order in which queued jobs are considered: urgent ones first, by age; then the team with the
 * lowest share of its quota, and within a team by age.
 *
 * <p>A team's share is reduced by the waiting time of its oldest job, so that every job comes first
 * after some time, however busy its team is. A team is put back with its new share after each of
 * its jobs. Not safe for use by several threads.
 */
final class FairShareQueue {
  /** Waiting time that outweighs a whole quota in use. */
  static final long AGING_MILLIS = 30 * 60_000L;

  private static final Comparator<Job> BY_AGE =
      Comparator.comparingLong(Job::queuedMillis).thenComparing(Job::name);

  private final PlanningState state;
  private final long nowMillis;
  private final ArrayDeque<Job> urgent = new ArrayDeque<>();
  private final PriorityQueue<Team> teams =
      new PriorityQueue<>(Comparator.comparingDouble(Team::score).thenComparing(Team::name));
  private Team last;

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
                byTeam.computeIfAbsent(job.spec().team(), it -> new ArrayDeque<>()).add(job);
              }
            });
    byTeam.forEach(this::add);
  }

  private void add(String name, ArrayDeque<Job> jobs) {
    if (!jobs.isEmpty()) {
      Job oldest = jobs.peek();
      double share = state.used(oldest).dominantShare(state.quota(oldest));
      double waited = (double) (nowMillis - oldest.queuedMillis()) / AGING_MILLIS;
      teams.add(new Team(name, share - waited, jobs));
    }
  }

  /** Returns the next job to consider; the use of its team is read when it is next asked. */
  Optional<Job> next() {
    if (!urgent.isEmpty()) {
      return Optional.of(urgent.poll());
    }
    if (last != null) {
      add(last.name(), last.jobs());
      last = null;
    }
    last = teams.poll();
    return last == null ? Optional.empty() : Optional.of(last.jobs().poll());
  }
}
