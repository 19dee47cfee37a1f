package org.persimmonloom.core.job;

import java.util.OptionalLong;

/**
 * The expected resource demand of a job.
 *
 * @param size resources to reserve
 * @param runMillis expected run time in milliseconds: the 90th percentile of observed runs, or the
 *     declared run time while there are too few
 */
public record JobDemand(JobSize size, long runMillis) {
  static final double RUN_QUANTILE = 0.9;
  static final double CORES_QUANTILE = 0.9;

  /**
   * Higher than the other quantiles, because a task that exceeds its memory is killed, while one
   * that lacks processors only runs longer.
   */
  static final double MEMORY_QUANTILE = 0.95;

  /** Headroom above the observed peak memory, in percent. */
  static final long MEMORY_HEADROOM_PERCENT = 25;

  /**
   * Returns the demand estimated from observed runs, or the declared demand while there are too few
   * of them. Estimated components are capped at {@code limit}, the largest size that both a single
   * worker and the team's quota allow. The memory floor after an out-of-memory kill is not capped.
   */
  static JobDemand of(Job job, ObservedQuantiles observed, JobSize limit) {
    JobSpec spec = job.spec();
    long cores =
        observed.cores().isPresent()
            ? clamp(observed.cores().getAsLong(), limit.cores())
            : spec.size().cores();
    long memoryMb =
        observed.memoryMb().isPresent()
            ? clamp(
                observed.memoryMb().getAsLong() * (100 + MEMORY_HEADROOM_PERCENT) / 100,
                limit.memoryMb())
            : spec.size().memoryMb();
    JobSize size =
        new JobSize(cores, Math.max(memoryMb, job.memoryFloorMb()), spec.size().accelerators());
    return new JobDemand(size, observed.runMillis().orElse(spec.declaredRunMillis()));
  }

  /** Quantiles of the observed runs of one kind; each is empty while there are too few samples. */
  record ObservedQuantiles(OptionalLong runMillis, OptionalLong cores, OptionalLong memoryMb) {
    static ObservedQuantiles of(JobSpec spec, JobEstimates estimates) {
      return new ObservedQuantiles(
          estimates.runMillis(spec, RUN_QUANTILE),
          estimates.cores(spec, CORES_QUANTILE),
          estimates.memoryMb(spec, MEMORY_QUANTILE));
    }
  }

  private static long clamp(long value, long limit) {
    return Math.max(1, Math.min(value, limit));
  }
}
