package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the attempts that make room for an urgent job: the fewest at one worker, and among equals
 * those that ran for the shortest time. Pure.
 */
final class Preemption {
  private Preemption() {}

  /** Returns the preemptions; empty if none makes room or some are already under way. */
  static List<JobPreempted> choose(PlanningState state, Job urgent, long nowMillis) {
    List<Job> best = List.of();
    long bestCost = Long.MAX_VALUE;
    for (WorkerSlot slot : state.slots(urgent)) {
      if (slot.live().stream().anyMatch(job -> isStoppingFor(job, urgent))) {
        return List.of();
      }
      if (!slot.isOpen() || slot.isQuarantined()) {
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

  /** One more victim costs more than any time; a day of run time stays below one victim. */
  private static long cost(List<Job> victims, long nowMillis) {
    long cost = 0;
    for (Job job : victims) {
      cost += 86_400_000L + Math.min(86_400_000L, nowMillis - job.live().startedMillis()) / 1_000;
    }
    return cost;
  }
}
