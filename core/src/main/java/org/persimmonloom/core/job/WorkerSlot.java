package org.persimmonloom.core.job;

import java.util.List;
import java.util.OptionalLong;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;

/**
 * A worker during one planning run. Its free capacity decreases with each placement of the plan.
 * Not thread-safe.
 */
final class WorkerSlot {
  private final Host host;
  private final WorkerRecord record;
  private final List<Job> live;
  private final int rackIndex;
  private final OptionalLong drainMillis;
  private final JobSize capacity;
  private JobSize free;
  private boolean hasNewPlacement;
  private String reservedFor = "";
  private long reservedFromMillis = Long.MAX_VALUE;

  WorkerSlot(
      Host host,
      WorkerRecord record,
      List<Job> live,
      JobSize used,
      int rackIndex,
      OptionalLong drainMillis) {
    this.host = host;
    this.record = record;
    this.live = live;
    this.rackIndex = rackIndex;
    this.drainMillis = drainMillis;
    this.capacity = PlacementCheck.capacity(host);
    this.free = capacity.minus(used);
  }

  String name() {
    return host.name();
  }

  int rackIndex() {
    return rackIndex;
  }

  List<Job> live() {
    return live;
  }

  JobSize capacity() {
    return capacity;
  }

  JobSize free() {
    return free;
  }

  boolean isHealthy() {
    return record.isHealthy();
  }

  boolean isQuarantined() {
    return record != null && record.isQuarantined();
  }

  /** Returns whether the worker responds and its host is available; ignores a quarantine. */
  boolean isSchedulable() {
    return host.state() == HostState.AVAILABLE && record != null && !record.isSilent();
  }

  /** Returns whether the worker accepts this job. In quarantine it accepts a single test job. */
  boolean accepts(Job job, long nowMillis) {
    if (!isSchedulable()) {
      return false;
    }
    if (!record.isQuarantined()) {
      return true;
    }
    return live.isEmpty()
        && !hasNewPlacement
        && job.spec().isRepeatable()
        && !job.spec().isUrgent()
        && nowMillis >= record.quarantinedMillis() + PlacementCheck.TEST_JOB_DELAY_MILLIS;
  }

  /** Returns whether a job that ends at this time ends before the worker's next drain. */
  boolean endsBeforeDrain(long endMillis) {
    return drainMillis.isEmpty() || endMillis <= drainMillis.getAsLong();
  }

  /** Returns when the next drain begins; {@link Long#MAX_VALUE} if none is planned. */
  long drainMillis() {
    return drainMillis.orElse(Long.MAX_VALUE);
  }

  /** Returns whether this job, if it ends then, would delay another job with a reservation here. */
  boolean wouldDelayReservedJob(Job job, long endMillis) {
    return isReserved() && !isReservedFor(job) && endMillis > reservedFromMillis;
  }

  boolean isReserved() {
    return !reservedFor.isEmpty();
  }

  boolean isReservedFor(Job job) {
    return reservedFor.equals(job.name());
  }

  void reserve(Job job, long fromMillis) {
    reservedFor = job.name();
    reservedFromMillis = fromMillis;
  }

  void allocate(JobSize size) {
    free = free.minus(size);
    hasNewPlacement = true;
  }
}
