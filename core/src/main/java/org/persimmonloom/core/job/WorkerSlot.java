package org.persimmonloom.core.job;

import java.util.List;
import java.util.OptionalLong;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;

/**
 * A worker during one planning run: what is free of it falls with each placement of the plan. Not
 * safe for use by several threads.
 */
final class WorkerSlot {
  private final Host host;
  private final WorkerRecord record;
  private final List<Job> live;
  private final int rackIndex;
  private final OptionalLong drainMillis;
  private final JobSize capacity;
  private JobSize free;
  private boolean isTaken;
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

  /** Returns whether the worker answers and takes new work, apart from a quarantine. */
  boolean isOpen() {
    return host.state() == HostState.AVAILABLE && record != null && !record.isSilent();
  }

  /** Returns whether the worker takes this job: any job, or one test job in quarantine. */
  boolean accepts(Job job, long nowMillis) {
    if (!isOpen()) {
      return false;
    }
    if (!record.isQuarantined()) {
      return true;
    }
    return live.isEmpty()
        && !isTaken
        && job.spec().isRepeatable()
        && !job.spec().isUrgent()
        && nowMillis >= record.quarantinedMillis() + PlacementCheck.TEST_JOB_DELAY_MILLIS;
  }

  /** Returns whether the job is likely to end before the worker's maintenance. */
  boolean endsBeforeDrain(long endMillis) {
    return drainMillis.isEmpty() || endMillis <= drainMillis.getAsLong();
  }

  /** Returns when maintenance begins; the largest value if none is planned. */
  long drainMillis() {
    return drainMillis.orElse(Long.MAX_VALUE);
  }

  /** Returns whether a job that ends then would delay the job that the worker is kept for. */
  boolean isKeptFrom(Job job, long endMillis) {
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

  void take(JobSize size) {
    free = free.minus(size);
    isTaken = true;
  }
}
