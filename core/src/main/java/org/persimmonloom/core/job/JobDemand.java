package org.persimmonloom.core.job;

import java.util.OptionalLong;

/**
 * What a job is likely to take.
 *
 * @param size what to reserve
 * @param runMillis how long it is likely to run, at the 90th percentile
 */
public record JobDemand(JobSize size, long runMillis) {
  static final double RUN_QUANTILE = 0.9;
  static final double CORES_QUANTILE = 0.9;

  /** Memory is not elastic: a task that exceeds it is killed, so its quantile is higher. */
  static final double MEMORY_QUANTILE = 0.95;

  /** Room for growth above the observed peak, in percent. */
  static final long MEMORY_HEADROOM_PERCENT = 25;

  /**
   * Returns the demand from observed runs, or from the declaration while there are too few. A
   * component that was learned is limited to what one worker and the team's quota can give, because
   * it is a guess; the floor after a kill for memory is not.
   */
  static JobDemand of(Job job, Learned learned, JobSize limit) {
    JobSpec spec = job.spec();
    long cores =
        learned.cores().isPresent()
            ? bound(learned.cores().getAsLong(), limit.cores())
            : spec.size().cores();
    long memoryMb =
        learned.memoryMb().isPresent()
            ? bound(
                learned.memoryMb().getAsLong() * (100 + MEMORY_HEADROOM_PERCENT) / 100,
                limit.memoryMb())
            : spec.size().memoryMb();
    JobSize size =
        new JobSize(cores, Math.max(memoryMb, job.memoryFloorMb()), spec.size().accelerators());
    return new JobDemand(size, learned.runMillis().orElse(spec.declaredRunMillis()));
  }

  /** The quantiles of one kind; each is empty while there are too few samples. */
  record Learned(OptionalLong runMillis, OptionalLong cores, OptionalLong memoryMb) {
    static Learned of(JobSpec spec, RunTimeEstimates estimates) {
      return new Learned(
          estimates.runMillis(spec, RUN_QUANTILE),
          estimates.cores(spec, CORES_QUANTILE),
          estimates.memoryMb(spec, MEMORY_QUANTILE));
    }
  }

  private static long bound(long value, long limit) {
    return Math.max(1, Math.min(value, limit));
  }
}
