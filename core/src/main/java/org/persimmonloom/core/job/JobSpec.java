package org.persimmonloom.core.job;

import java.util.Objects;

/**
 * The specification of a job as submitted by a caller.
 *
 * @param job identifier from the caller, {@code <unix millis>-<8 to 64 characters>}; the time lets
 *     the fold reject a late duplicate after the job was discarded
 * @param team team against whose quota the job counts
 * @param kind jobs of the same service and kind share the estimates of run time and resources
 * @param service service whose pool of workers runs the job
 * @param size declared size; often far from the actual use
 * @param declaredRunMillis declared run time in milliseconds
 * @param isUrgent whether the job is placed before all others and may preempt them
 * @param isRepeatable whether the job may run again after an attempt that has run or may have run
 */
public record JobSpec(
    String job,
    String team,
    String kind,
    String service,
    JobSize size,
    long declaredRunMillis,
    boolean isUrgent,
    boolean isRepeatable) {
  public JobSpec {
    Objects.requireNonNull(job, "job");
    Objects.requireNonNull(team, "team");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(size, "size");
  }
}
