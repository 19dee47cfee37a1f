package org.persimmonloom.runtime.operator;

import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobState;

/**
 * One line of the list of jobs.
 *
 * @param worker where its live attempt is; empty if none
 * @param attempts attempts so far
 * @param sinceMillis fold time of the last change of state
 */
public record JobSummary(
    String job,
    String team,
    String kind,
    JobState state,
    boolean isUrgent,
    String worker,
    int attempts,
    long sinceMillis,
    String reason) {
  static JobSummary of(Job job) {
    return new JobSummary(
        job.name(),
        job.spec().team(),
        job.spec().kind(),
        job.state(),
        job.spec().isUrgent(),
        job.live() == null ? "" : job.live().worker(),
        job.history().attempts(),
        job.sinceMillis(),
        job.reason());
  }
}
