package org.persimmonloom.core.job;

import java.util.List;
import java.util.SortedMap;
import org.persimmonloom.core.fold.Proposal;

/**
 * The result of one planning run.
 *
 * @param offset first log offset that the plan does not take into account; the fold rejects
 *     placements at a worker that changed at or after it
 * @param proposals placements, preemptions and jobs to park, in order of priority
 * @param waiting by job, the reason why a considered job was not placed
 */
public record JobPlan(long offset, List<Proposal> proposals, SortedMap<String, String> waiting) {
  public JobPlan {
    proposals = List.copyOf(proposals);
  }
}
