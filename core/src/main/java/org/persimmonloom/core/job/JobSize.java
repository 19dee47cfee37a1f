package org.persimmonloom.core.job;

/**
 * What a job takes of a worker, or what a worker or a quota has.
 *
 * @param cores processors
 * @param memoryMb memory in MiB
 * @param accelerators number of accelerators
 */
public record JobSize(long cores, long memoryMb, long accelerators) {
  /** The size of nothing. */
  public static final JobSize NONE = new JobSize(0, 0, 0);

  /** Returns the sum of both. */
  public JobSize plus(JobSize other) {
    return new JobSize(
        cores + other.cores, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** Returns the difference; a component may be negative. */
  public JobSize minus(JobSize other) {
    return new JobSize(
        cores - other.cores, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /** Returns whether no component exceeds that of {@code limit}. */
  public boolean fitsIn(JobSize limit) {
    return cores <= limit.cores && memoryMb <= limit.memoryMb && accelerators <= limit.accelerators;
  }

  /** Returns this size with another memory. */
  public JobSize withMemoryMb(long other) {
    return new JobSize(cores, other, accelerators);
  }

  /** Returns the largest share that this size takes of a component of {@code whole}. */
  public double dominantShare(JobSize whole) {
    double share = share(cores, whole.cores);
    share = Math.max(share, share(memoryMb, whole.memoryMb));
    return Math.max(share, share(accelerators, whole.accelerators));
  }

  private static double share(long part, long whole) {
    return part == 0 ? 0 : (double) part / Math.max(1, whole);
  }
}
