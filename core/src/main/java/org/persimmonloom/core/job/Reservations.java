package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reserves workers for large jobs, which would otherwise starve because no worker has enough free
 * capacity at one time. Small jobs need no reservation: aging puts them first in the queue, and the
 * next job that ends frees enough capacity.
 *
 * <p>The reserved worker is the one that is expected to have enough free capacity first. Until then
 * it accepts only jobs that are expected to end earlier (backfilling). Its free capacity therefore
 * grows, and later planning runs reserve it again. Not thread-safe.
 */
final class Reservations {
  /** At most one of this many workers of a pool is reserved, but at least one per pool. */
  static final int RESERVED_DIVISOR = 8;

  /** Minimum share of the largest worker for a job to count as large. */
  static final double LARGE_JOB_SHARE = 0.5;

  /** Waiting time after which a large job gets a reservation, in milliseconds. */
  static final long RESERVE_AFTER_MILLIS = 5 * 60_000L;

  private final PlanningState state;
  private final long nowMillis;
  private final Map<String, WorkerSlot> slotByJob = new HashMap<>();
  private final Map<String, Integer> reservedByPool = new HashMap<>();

  Reservations(PlanningState state, long nowMillis) {
    this.state = state;
    this.nowMillis = nowMillis;
  }

  /** Reserves workers for large jobs that have waited long, the oldest first. */
  void prepare() {
    state.queued().stream()
        .filter(job -> hasWaitedLong(job, nowMillis) && !job.spec().isUrgent() && isLarge(job))
        .filter(state::isWithinQuota)
        .sorted(Comparator.comparingLong(Job::queuedMillis).thenComparing(Job::name))
        .forEach(this::reserve);
  }

  static boolean hasWaitedLong(Job job, long nowMillis) {
    return nowMillis - job.queuedMillis() >= RESERVE_AFTER_MILLIS;
  }

  private boolean isLarge(Job job) {
    return state.demand(job).size().dominantShare(state.largestIn(job)) >= LARGE_JOB_SHARE;
  }

  /** Returns the worker that is reserved for the job. */
  Optional<WorkerSlot> find(Job job) {
    return Optional.ofNullable(slotByJob.get(job.name()));
  }

  private void reserve(Job job) {
    List<WorkerSlot> slots = state.slots(job);
    int reserved = reservedByPool.getOrDefault(state.poolOf(job), 0);
    if (reserved >= Math.max(1, slots.size() / RESERVED_DIVISOR)) {
      return;
    }
    WorkerSlot earliest = null;
    long earliestMillis = Long.MAX_VALUE;
    for (WorkerSlot slot : slots) {
      long millis = isEligible(slot, job) ? capacityMillis(slot, job) : Long.MAX_VALUE;
      if (millis < earliestMillis && slot.endsBeforeDrain(millis + state.demand(job).runMillis())) {
        earliest = slot;
        earliestMillis = millis;
      }
    }
    if (earliest != null) {
      earliest.reserve(job, earliestMillis);
      slotByJob.put(job.name(), earliest);
      reservedByPool.merge(state.poolOf(job), 1, Integer::sum);
    }
  }

  private boolean isEligible(WorkerSlot slot, Job job) {
    return slot.isSchedulable()
        && !slot.isQuarantined()
        && !slot.isReserved()
        && !job.history().failedWorkers().contains(slot.name())
        && state.demand(job).size().fitsIn(slot.capacity());
  }

  /** Returns when enough live attempts are expected to have ended for the job to fit. */
  private long capacityMillis(WorkerSlot slot, Job job) {
    List<Job> byEnd = new ArrayList<>(slot.live());
    byEnd.sort(Comparator.comparingLong(this::expectedEndMillis).thenComparing(Job::name));
    JobSize free = slot.free();
    long millis = nowMillis;
    for (Job live : byEnd) {
      if (state.demand(job).size().fitsIn(free)) {
        return millis;
      }
      free = free.plus(live.live().size());
      millis = expectedEndMillis(live);
    }
    return state.demand(job).size().fitsIn(free) ? millis : Long.MAX_VALUE;
  }

  /**
   * Returns the expected end. A job that has exceeded its estimate is expected to run for half of
   * its elapsed time longer, because run times have a long tail.
   */
  private long expectedEndMillis(Job job) {
    long startMillis = Math.max(job.live().placedMillis(), job.live().startedMillis());
    long elapsed = Math.max(0, nowMillis - startMillis);
    long remaining = state.demand(job).runMillis() - elapsed;
    return nowMillis + Math.max(remaining, elapsed / 2);
  }
}
