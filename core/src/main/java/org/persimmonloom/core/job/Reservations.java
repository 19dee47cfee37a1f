package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps workers for large jobs that would otherwise never find enough room at once. Small jobs need
 * none: aging puts them first, and the next job that ends makes room for them.
 *
 * <p>The reserved worker is the one that is likely to have room first. Until then it takes only
 * jobs that are likely to end before; so its room grows, and later runs choose it again. Not safe
 * for use by several threads.
 */
final class Reservations {
  /** At most one in this many workers of a pool is reserved, and at least one. */
  static final int RESERVED_DIVISOR = 8;

  /** Share of the largest worker from which a job counts as large. */
  static final double LARGE_SHARE = 0.5;

  /** Waiting time after which a large job gets a reservation. */
  static final long RESERVE_AFTER_MILLIS = 5 * 60_000L;

  private final PlanningState state;
  private final long nowMillis;
  private final Map<String, WorkerSlot> slotByJob = new HashMap<>();
  private final Map<String, Integer> reservedByPool = new HashMap<>();

  Reservations(PlanningState state, long nowMillis) {
    this.state = state;
    this.nowMillis = nowMillis;
  }

  /** Reserves workers for the large jobs that have waited long, the oldest first. */
  void prepare() {
    state.queued().stream()
        .filter(job -> hasWaited(job, nowMillis) && !job.spec().isUrgent() && isLarge(job))
        .filter(state::isWithinQuota)
        .sorted(Comparator.comparingLong(Job::queuedMillis).thenComparing(Job::name))
        .forEach(this::reserve);
  }

  static boolean hasWaited(Job job, long nowMillis) {
    return nowMillis - job.queuedMillis() >= RESERVE_AFTER_MILLIS;
  }

  private boolean isLarge(Job job) {
    return state.demand(job).size().dominantShare(state.largestIn(job)) >= LARGE_SHARE;
  }

  /** Returns the worker that is kept for the job. */
  Optional<WorkerSlot> find(Job job) {
    return Optional.ofNullable(slotByJob.get(job.name()));
  }

  private void reserve(Job job) {
    List<WorkerSlot> slots = state.slots(job);
    int reserved = reservedByPool.getOrDefault(state.poolOf(job), 0);
    if (reserved >= Math.max(1, slots.size() / RESERVED_DIVISOR)) {
      return;
    }
    WorkerSlot first = null;
    long firstMillis = Long.MAX_VALUE;
    for (WorkerSlot slot : slots) {
      long millis = isEligible(slot, job) ? roomMillis(slot, job) : Long.MAX_VALUE;
      if (millis < firstMillis && slot.endsBeforeDrain(millis + state.demand(job).runMillis())) {
        first = slot;
        firstMillis = millis;
      }
    }
    if (first != null) {
      first.reserve(job, firstMillis);
      slotByJob.put(job.name(), first);
      reservedByPool.merge(state.poolOf(job), 1, Integer::sum);
    }
  }

  private boolean isEligible(WorkerSlot slot, Job job) {
    return slot.isOpen()
        && !slot.isQuarantined()
        && !slot.isReserved()
        && !job.history().failedWorkers().contains(slot.name())
        && state.demand(job).size().fitsIn(slot.capacity());
  }

  /** Returns when the live attempts that are likely to end first leave enough room. */
  private long roomMillis(WorkerSlot slot, Job job) {
    List<Job> byEnd = new ArrayList<>(slot.live());
    byEnd.sort(Comparator.comparingLong(this::endMillis).thenComparing(Job::name));
    JobSize free = slot.free();
    long millis = nowMillis;
    for (Job live : byEnd) {
      if (state.demand(job).size().fitsIn(free)) {
        return millis;
      }
      free = free.plus(live.live().size());
      millis = endMillis(live);
    }
    return state.demand(job).size().fitsIn(free) ? millis : Long.MAX_VALUE;
  }

  /**
   * Returns the likely end. A job that outlived its estimate is taken to run half as long again,
   * since run times have a long tail.
   */
  private long endMillis(Job job) {
    long startMillis = Math.max(job.live().placedMillis(), job.live().startedMillis());
    long elapsed = Math.max(0, nowMillis - startMillis);
    long remaining = state.demand(job).runMillis() - elapsed;
    return nowMillis + Math.max(remaining, elapsed / 2);
  }
}
