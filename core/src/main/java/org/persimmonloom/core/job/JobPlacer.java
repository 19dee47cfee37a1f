package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.persimmonloom.core.fold.Proposal;

/**
 * Plans placements of queued jobs.
 *
 * <p>A job goes to the worker of its pool that it fills best, away from workers with accelerators
 * it does not need, from racks that run many of its kind, and from workers whose maintenance would
 * begin before it is likely to end. An urgent job that fits nowhere preempts; a job that has waited
 * long gets a reservation. Pure: equal inputs give equal plans. Safe for any thread.
 */
public final class JobPlacer {
  /** Placements of one run; more would not fit one batch of the log. */
  static final int MAX_PROPOSALS = 256;

  /**
   * Workers that are compared in a large pool, from a place that depends on the job. The best of so
   * many is nearly as good as the best of all; comparing 4,200 took 80 ms for 256 placements.
   */
  static final int MIN_COMPARED = 512;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  /** Weight of the rack: ten attempts of the kind outweigh a whole worker left empty. */
  private static final double RACK_WEIGHT = 0.1;

  private static final double ACCELERATOR_WEIGHT = 10;
  private static final double RESERVED_WEIGHT = 10;
  private static final double UNHEALTHY_WEIGHT = 5;

  /** A test job ends a quarantine, so it is preferred to other placements. */
  private static final double TEST_BONUS = -5;

  private JobPlacer() {}

  /** Returns the plan for the queued jobs of {@code state}, which is used up. */
  public static JobPlan plan(PlanningState state, long nowMillis) {
    return new Run(state, nowMillis).plan();
  }

  /** Everything on which the search for a worker depends. */
  private record Signature(
      String pool, JobDemand demand, boolean isUrgent, boolean isRepeatable, boolean hasWaited) {}

  /** One planning run. */
  private static final class Run {
    private final PlanningState state;
    private final long nowMillis;
    private final Reservations reservations;
    private final List<Proposal> proposals = new ArrayList<>();
    private final SortedMap<String, String> waiting = new TreeMap<>();

    /** Demands that found no worker; room only shrinks during a run, so equal ones find none. */
    private final Set<Signature> hopeless = new HashSet<>();

    Run(PlanningState state, long nowMillis) {
      this.state = state;
      this.nowMillis = nowMillis;
      state.countKinds();
      this.reservations = new Reservations(state, nowMillis);
      reservations.prepare();
    }

    JobPlan plan() {
      FairShareQueue queue = new FairShareQueue(state, nowMillis);
      Optional<Job> next = queue.next();
      while (next.isPresent() && proposals.size() < MAX_PROPOSALS) {
        consider(next.get());
        next = queue.next();
      }
      return new JobPlan(state.offset(), proposals, waiting);
    }

    private void consider(Job job) {
      JobSize size = state.demand(job).size();
      if (!canEverRun(job, size)) {
        return;
      }
      if (!state.isWithinQuota(job)) {
        waiting.put(job.name(), "team " + job.spec().team() + " uses its quota");
        return;
      }
      boolean isRemembered =
          job.history().failedWorkers().isEmpty() && reservations.find(job).isEmpty();
      Signature signature = signature(job);
      Optional<WorkerSlot> slot =
          isRemembered && hopeless.contains(signature) ? Optional.empty() : best(job);
      if (slot.isPresent()) {
        state.take(job, slot.get());
        int attempt = job.history().attempts() + 1;
        proposals.add(new JobPlaced(job.name(), attempt, slot.get().name(), size, state.offset()));
        return;
      }
      if (isRemembered) {
        hopeless.add(signature);
      }
      waitForRoom(job);
    }

    private Signature signature(Job job) {
      JobSpec spec = job.spec();
      return new Signature(
          state.poolOf(job),
          state.demand(job),
          spec.isUrgent(),
          spec.isRepeatable(),
          Reservations.hasWaited(job, nowMillis));
    }

    /** Parks a job that is larger than every worker of its pool or than its team's quota. */
    private boolean canEverRun(Job job, JobSize size) {
      List<WorkerSlot> slots = state.slots(job);
      if (slots.isEmpty()) {
        waiting.put(job.name(), "pool " + state.poolOf(job) + " has no worker");
        return false;
      }
      boolean fitsQuota = size.fitsIn(state.quota(job));
      if (fitsQuota && slots.stream().anyMatch(slot -> size.fitsIn(slot.capacity()))) {
        return true;
      }
      String limit =
          fitsQuota ? "every worker of pool " + state.poolOf(job) : "quota " + state.quota(job);
      proposals.add(new JobParked(job.name(), "needs " + size + ", more than " + limit));
      return false;
    }

    private void waitForRoom(Job job) {
      if (job.spec().isUrgent()) {
        List<JobPreempted> victims = Preemption.choose(state, job, nowMillis);
        proposals.addAll(victims);
        waiting.put(job.name(), "waits for " + victims.size() + " preemptions");
      } else {
        waiting.put(
            job.name(),
            reservations
                .find(job)
                .map(slot -> "worker " + slot.name() + " is reserved")
                .orElse("no worker has room for " + state.demand(job).size()));
      }
    }

    private Optional<WorkerSlot> best(Job job) {
      long endMillis = nowMillis + state.demand(job).runMillis();
      boolean avoidsFailed = hasOtherWorker(job);
      int[] kindByRack = state.kindByRack(job);
      WorkerSlot best = null;
      double bestScore = Double.MAX_VALUE;
      List<WorkerSlot> slots = state.slots(job);
      int start = (int) Math.floorMod(HASH.hashChars(job.name()), (long) slots.size());
      for (int i = 0; i < slots.size() && (i < MIN_COMPARED || best == null); i++) {
        WorkerSlot slot = slots.get((start + i) % slots.size());
        if (isCandidate(slot, job, avoidsFailed) && isFreeUntil(slot, job, endMillis)) {
          double score = score(slot, job, kindByRack);
          if (score < bestScore) {
            best = slot;
            bestScore = score;
          }
        }
      }
      return best != null ? Optional.of(best) : latestDrain(job, avoidsFailed);
    }

    private boolean isCandidate(WorkerSlot slot, Job job, boolean avoidsFailed) {
      return state.demand(job).size().fitsIn(slot.free())
          && slot.accepts(job, nowMillis)
          && !(avoidsFailed && job.history().failedWorkers().contains(slot.name()));
    }

    private static boolean isFreeUntil(WorkerSlot slot, Job job, long endMillis) {
      return slot.endsBeforeDrain(endMillis)
          && (job.spec().isUrgent() || !slot.isKeptFrom(job, endMillis));
    }

    /** A small pool may have only workers on which the job failed; it is tried there again. */
    private boolean hasOtherWorker(Job job) {
      List<String> failed = job.history().failedWorkers();
      if (failed.isEmpty()) {
        return false;
      }
      JobSize size = state.demand(job).size();
      return state.slots(job).stream()
          .anyMatch(
              slot ->
                  slot.isOpen() && size.fitsIn(slot.capacity()) && !failed.contains(slot.name()));
    }

    /**
     * A job that is longer than the time to every drain would wait for ever. After some waiting it
     * goes to the worker that is drained last, if it can resume elsewhere.
     */
    private Optional<WorkerSlot> latestDrain(Job job, boolean avoidsFailed) {
      boolean hasWaited = Reservations.hasWaited(job, nowMillis);
      if (!job.spec().isRepeatable() || !(hasWaited || job.spec().isUrgent())) {
        return Optional.empty();
      }
      WorkerSlot latest = null;
      for (WorkerSlot slot : state.slots(job)) {
        boolean isLater = latest == null || slot.drainMillis() > latest.drainMillis();
        if (isLater
            && isCandidate(slot, job, avoidsFailed)
            && !slot.isKeptFrom(job, Long.MAX_VALUE)) {
          latest = slot;
        }
      }
      return Optional.ofNullable(latest);
    }

    private double score(WorkerSlot slot, Job job, int[] kindByRack) {
      JobSize size = state.demand(job).size();
      JobSize left = slot.free().minus(size);
      double score = left.dominantShare(slot.capacity());
      score += RACK_WEIGHT * kindByRack[slot.rackIndex()];
      if (size.accelerators() == 0 && slot.capacity().accelerators() > 0) {
        score += ACCELERATOR_WEIGHT;
      }
      if (slot.isReserved() && !slot.isReservedFor(job)) {
        score += RESERVED_WEIGHT;
      }
      if (slot.isQuarantined()) {
        return score + TEST_BONUS;
      }
      return slot.isHealthy() ? score : score + UNHEALTHY_WEIGHT;
    }
  }
}
