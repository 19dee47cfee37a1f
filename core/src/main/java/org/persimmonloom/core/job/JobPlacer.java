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
 * <p>A job is placed by best fit within its pool. Placement avoids workers with accelerators that
 * the job does not need, racks that run many attempts of its kind, and workers whose maintenance is
 * expected to begin before the job ends. An urgent job that fits nowhere preempts other jobs; a
 * large job that has waited long gets a reservation. Deterministic: equal inputs give equal plans.
 * Thread-safe.
 */
public final class JobPlacer {
  /** Maximum proposals of one planning run; more would not fit into one batch of the log. */
  static final int MAX_PROPOSALS = 256;

  /**
   * Number of workers that are compared for a job in a large pool, starting at an index that
   * depends on the job. The best of them is nearly as good as the best of the pool, while comparing
   * all of 4,200 workers took 80 ms for 256 placements. If none of them fits, the search continues
   * until one does.
   */
  static final int MIN_COMPARED_WORKERS = 512;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  /**
   * Score per live attempt of the same kind in the rack. Ten attempts weigh as much as leaving a
   * whole worker empty.
   */
  private static final double RACK_WEIGHT = 0.1;

  private static final double ACCELERATOR_WEIGHT = 10;
  private static final double RESERVED_WEIGHT = 10;
  private static final double UNHEALTHY_WEIGHT = 5;

  /**
   * A successful test job ends a quarantine, so a quarantined worker that accepts one is preferred.
   */
  private static final double TEST_BONUS = -5;

  private JobPlacer() {}

  /** Returns the plan for the queued jobs. {@code state} is modified and must not be used again. */
  public static JobPlan plan(PlanningState state, long nowMillis) {
    return new PlanningRun(state, nowMillis).plan();
  }

  /** The properties of a job on which the search for a worker depends. */
  private record SearchKey(
      String pool,
      JobDemand demand,
      boolean isUrgent,
      boolean isRepeatable,
      boolean hasWaitedLong) {}

  /** One planning run. */
  private static final class PlanningRun {
    private final PlanningState state;
    private final long nowMillis;
    private final Reservations reservations;
    private final List<Proposal> proposals = new ArrayList<>();
    private final SortedMap<String, String> waiting = new TreeMap<>();

    /**
     * Searches that found no worker. Free capacity only shrinks during a run, so an equal search
     * would fail as well.
     */
    private final Set<SearchKey> failedSearches = new HashSet<>();

    PlanningRun(PlanningState state, long nowMillis) {
      this.state = state;
      this.nowMillis = nowMillis;
      state.countAttempts();
      this.reservations = new Reservations(state, nowMillis);
      reservations.prepare();
    }

    JobPlan plan() {
      FairShareQueue queue = new FairShareQueue(state, nowMillis);
      Optional<Job> next = queue.next();
      while (next.isPresent() && proposals.size() < MAX_PROPOSALS) {
        place(next.get());
        next = queue.next();
      }
      return new JobPlan(state.offset(), proposals, waiting);
    }

    private void place(Job job) {
      JobSize size = state.demand(job).size();
      if (!canRunInPool(job, size)) {
        return;
      }
      if (!state.isWithinQuota(job)) {
        waiting.put(job.name(), "the quota of team " + job.spec().team() + " is used up");
        return;
      }
      boolean isCacheable =
          job.history().failedWorkers().isEmpty() && reservations.find(job).isEmpty();
      SearchKey searchKey = searchKey(job);
      Optional<WorkerSlot> slot =
          isCacheable && failedSearches.contains(searchKey) ? Optional.empty() : bestWorker(job);
      if (slot.isPresent()) {
        state.allocate(job, slot.get());
        int attempt = job.history().attempts() + 1;
        proposals.add(new JobPlaced(job.name(), attempt, slot.get().name(), size, state.offset()));
        return;
      }
      if (isCacheable) {
        failedSearches.add(searchKey);
      }
      preemptOrWait(job);
    }

    private SearchKey searchKey(Job job) {
      JobSpec spec = job.spec();
      return new SearchKey(
          state.poolOf(job),
          state.demand(job),
          spec.isUrgent(),
          spec.isRepeatable(),
          Reservations.hasWaitedLong(job, nowMillis));
    }

    /**
     * Returns whether the job fits any worker of its pool and the quota of its team. Parks it if
     * not, or records why it waits if the pool is empty.
     */
    private boolean canRunInPool(Job job, JobSize size) {
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

    private void preemptOrWait(Job job) {
      if (job.spec().isUrgent()) {
        List<JobPreempted> victims = Preemption.choose(state, job, nowMillis);
        proposals.addAll(victims);
        waiting.put(job.name(), "waits for " + victims.size() + " preemptions");
      } else {
        waiting.put(
            job.name(),
            reservations
                .find(job)
                .map(slot -> "worker " + slot.name() + " is reserved for it")
                .orElse("no worker has enough free capacity for " + state.demand(job).size()));
      }
    }

    private Optional<WorkerSlot> bestWorker(Job job) {
      long endMillis = nowMillis + state.demand(job).runMillis();
      boolean mustAvoidFailed = hasOtherWorker(job);
      int[] attemptsByRack = state.attemptsByRack(job);
      WorkerSlot best = null;
      double bestScore = Double.MAX_VALUE;
      List<WorkerSlot> slots = state.slots(job);
      int start = (int) Math.floorMod(HASH.hashChars(job.name()), (long) slots.size());
      for (int i = 0; i < slots.size() && (i < MIN_COMPARED_WORKERS || best == null); i++) {
        WorkerSlot slot = slots.get((start + i) % slots.size());
        if (isCandidate(slot, job, mustAvoidFailed) && isUsableUntil(slot, job, endMillis)) {
          double score = score(slot, job, attemptsByRack);
          if (score < bestScore) {
            best = slot;
            bestScore = score;
          }
        }
      }
      return best != null ? Optional.of(best) : latestDrainedWorker(job, mustAvoidFailed);
    }

    private boolean isCandidate(WorkerSlot slot, Job job, boolean mustAvoidFailed) {
      return state.demand(job).size().fitsIn(slot.free())
          && slot.accepts(job, nowMillis)
          && !(mustAvoidFailed && job.history().failedWorkers().contains(slot.name()));
    }

    private static boolean isUsableUntil(WorkerSlot slot, Job job, long endMillis) {
      return slot.endsBeforeDrain(endMillis)
          && (job.spec().isUrgent() || !slot.wouldDelayReservedJob(job, endMillis));
    }

    /**
     * Returns whether the pool has a suitable worker on which the job has not failed. If it has
     * none, as may happen in a small pool, the job is retried on a worker where it failed.
     */
    private boolean hasOtherWorker(Job job) {
      List<String> failed = job.history().failedWorkers();
      if (failed.isEmpty()) {
        return false;
      }
      JobSize size = state.demand(job).size();
      return state.slots(job).stream()
          .anyMatch(
              slot ->
                  slot.isSchedulable()
                      && size.fitsIn(slot.capacity())
                      && !failed.contains(slot.name()));
    }

    /**
     * Returns the worker whose drain begins last, for a job that would not end before any drain and
     * would otherwise wait forever. Applies only to repeatable jobs, which can resume elsewhere,
     * and only if they are urgent or have waited long.
     */
    private Optional<WorkerSlot> latestDrainedWorker(Job job, boolean mustAvoidFailed) {
      boolean hasWaitedLong = Reservations.hasWaitedLong(job, nowMillis);
      if (!job.spec().isRepeatable() || !(hasWaitedLong || job.spec().isUrgent())) {
        return Optional.empty();
      }
      WorkerSlot latest = null;
      for (WorkerSlot slot : state.slots(job)) {
        boolean isLater = latest == null || slot.drainMillis() > latest.drainMillis();
        if (isLater
            && isCandidate(slot, job, mustAvoidFailed)
            && !slot.wouldDelayReservedJob(job, Long.MAX_VALUE)) {
          latest = slot;
        }
      }
      return Optional.ofNullable(latest);
    }

    private double score(WorkerSlot slot, Job job, int[] attemptsByRack) {
      JobSize size = state.demand(job).size();
      JobSize remaining = slot.free().minus(size);
      double score = remaining.dominantShare(slot.capacity());
      score += RACK_WEIGHT * attemptsByRack[slot.rackIndex()];
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
