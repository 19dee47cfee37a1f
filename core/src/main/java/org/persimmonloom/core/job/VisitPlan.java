package org.persimmonloom.core.job;

import java.util.List;
import org.persimmonloom.core.fold.Proposal;

/**
 * The actions of an entry host for one worker, based on the worker's report.
 *
 * @param starts jobs whose live attempt is started; a start may be repeated
 * @param renewals attempts whose lease at the worker is renewed, all in one call
 * @param checkpoints attempts to checkpoint
 * @param throttles jobs whose live attempt has a processor limit at the worker that differs from
 *     the limit in the fold
 * @param stops attempts to stop, including ones that the worker does not report: a worker that has
 *     received a stop rejects a delayed start of the same attempt
 * @param proposals records for changes that the report shows and the fold does not contain yet
 */
public record VisitPlan(
    List<Job> starts,
    List<WorkerRenewed.Ref> renewals,
    List<WorkerRenewed.Ref> checkpoints,
    List<Job> throttles,
    List<WorkerRenewed.Ref> stops,
    List<Proposal> proposals) {}
