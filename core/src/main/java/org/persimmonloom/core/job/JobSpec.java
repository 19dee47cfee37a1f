package org.persimmonloom.core.job;

import java.util.Objects;

/**
 * What a caller asks for.
 *
 * @param job identifier from the caller, {@code <unix millis>-<8 to 64 characters>}; its time lets
 *     the fold refuse a late repetition after the job was discarded
 * @param team team whose quota the job takes
 * @param kind jobs of one kind share what is learned of run time and memory
 * @param service service whose pool of workers runs the job
 * @param size declared size; declarations are often far off
 * @param declaredRunMillis declared run time
 * @param isUrgent whether the job goes before all others and may preempt
 * @param isRepeatable whether the job may run again after it may have run
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
