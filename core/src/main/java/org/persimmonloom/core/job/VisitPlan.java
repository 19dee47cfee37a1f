package org.persimmonloom.core.job;

import java.util.List;
import org.persimmonloom.core.fold.Proposal;

/**
 * What an entry host does about one worker after it read the worker's report.
 *
 * @param starts attempts to start, possibly again
 * @param renewals attempts whose lease at the worker is renewed, in one call
 * @param checkpoints attempts to checkpoint
 * @param throttles attempts whose limit of processors differs from the fold's
 * @param stops attempts to stop, known to the worker or not; a stop that arrives first keeps a late
 *     start from running
 * @param proposals what the report shows and the fold does not hold yet
 */
public record VisitPlan(
    List<Job> starts,
    List<WorkerRenewed.Ref> renewals,
    List<WorkerRenewed.Ref> checkpoints,
    List<Job> throttles,
    List<WorkerRenewed.Ref> stops,
    List<Proposal> proposals) {}
