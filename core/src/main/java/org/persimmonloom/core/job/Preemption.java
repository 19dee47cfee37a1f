package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the attempts to preempt for an urgent job: the fewest at one worker, and among equally
 * few those with the shortest run time so far. Pure.
 */
final class Preemption {
  private Preemption() {}

  /**
   * Returns the preemptions to propose; empty if none frees enough capacity, or if attempts are
   * already being stopped for the urgent job.
   */
  static List<JobPreempted> choose(PlanningState state, Job urgent, long nowMillis) {
    List<Job> best = List.of();
    long bestCost = Long.MAX_VALUE;
    for (WorkerSlot slot : state.slots(urgent)) {
      if (slot.live().stream().anyMatch(job -> isStoppingFor(job, urgent))) {
        return List.of();
      }
      if (!slot.isSchedulable() || slot.isQuarantined()) {
        continue;
      }
      List<Job> victims = victims(state, slot, urgent);
      long cost = cost(victims, nowMillis);
      if (!victims.isEmpty() && cost < bestCost) {
        best = victims;
        bestCost = cost;
      }
    }
    return best.stream()
        .map(job -> new JobPreempted(job.name(), job.live().number(), urgent.name()))
        .toList();
  }

  private static boolean isStoppingFor(Job job, Job urgent) {
    return job.live().stop() == Attempt.Stop.PREEMPT
        && job.live().stoppedFor().equals(urgent.name());
  }

  private static List<Job> victims(PlanningState state, WorkerSlot slot, Job urgent) {
    JobSize needed = state.demand(urgent).size();
    List<Job> candidates =
        slot.live().stream()
            .filter(JobEvents::isPreemptible)
            .sorted(
                Comparator.comparingLong((Job job) -> -job.live().startedMillis())
                    .thenComparing(Job::name))
            .toList();
    List<Job> victims = new ArrayList<>();
    JobSize free = slot.free();
    for (Job job : candidates) {
      if (needed.fitsIn(free)) {
        break;
      }
      free = free.plus(job.live().size());
      victims.add(job);
    }
    return needed.fitsIn(free) ? victims : List.of();
  }

  /**
   * Returns the cost of preempting these jobs. Run time is counted in seconds and up to one day, so
   * the number of victims always outweighs it.
   */
  private static long cost(List<Job> victims, long nowMillis) {
    long cost = 0;
    for (Job job : victims) {
      cost += 86_400_000L + Math.min(86_400_000L, nowMillis - job.live().startedMillis()) / 1_000;
    }
    return cost;
  }
}
