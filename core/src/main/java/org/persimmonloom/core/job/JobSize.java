package org.persimmonloom.core.job;

/**
 * An amount of resources: the demand of a job, the capacity of a worker, or a quota.
 *
 * @param cores processors
 * @param memoryMb memory in MiB
 * @param accelerators number of accelerators
 */
public record JobSize(long cores, long memoryMb, long accelerators) {
  /** Zero of every resource. */
  public static final JobSize NONE = new JobSize(0, 0, 0);

  /** Returns the sum by component. */
  public JobSize plus(JobSize other) {
    return new JobSize(
        cores + other.cores, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** Returns the difference by component; a component may be negative. */
  public JobSize minus(JobSize other) {
    return new JobSize(
        cores - other.cores, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /** Returns whether no component exceeds that of {@code limit}. */
  public boolean fitsIn(JobSize limit) {
    return cores <= limit.cores && memoryMb <= limit.memoryMb && accelerators <= limit.accelerators;
  }

  /** Returns a copy with the given memory. */
  public JobSize withMemoryMb(long other) {
    return new JobSize(cores, other, accelerators);
  }

  /** Returns the dominant share: the largest fraction that this size takes of any component. */
  public double dominantShare(JobSize whole) {
    double share = share(cores, whole.cores);
    share = Math.max(share, share(memoryMb, whole.memoryMb));
    return Math.max(share, share(accelerators, whole.accelerators));
  }

  private static double share(long part, long whole) {
    return part == 0 ? 0 : (double) part / Math.max(1, whole);
  }
}
