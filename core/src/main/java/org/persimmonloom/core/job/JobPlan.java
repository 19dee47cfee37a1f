package org.persimmonloom.core.job;

import java.util.List;
import java.util.SortedMap;
import org.persimmonloom.core.fold.Proposal;

/**
 * The result of one planning run.
 *
 * @param offset first offset that the plan does not know; the fold refuses placements at a worker
 *     that changed since
 * @param proposals placements, preemptions and jobs to park, in the order of their priority
 * @param waiting why each considered job was not placed
 */
public record JobPlan(long offset, List<Proposal> proposals, SortedMap<String, String> waiting) {
  public JobPlan {
    proposals = List.copyOf(proposals);
  }
}
