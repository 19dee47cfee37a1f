package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/**
 * Accepts, cancels and shows workflows on one entry host.
 *
 * <p>A submission is accepted when its record is durable. It is refused only if no attempt to write
 * the record can have succeeded; otherwise its outcome stays undecided, and the submitter asks
 * again. Safe for any thread.
 */
public final class SubmissionService {
  /** How a submission or a cancellation ended. */
  public enum Result {
    ACCEPTED,
    /** The workflow is unknown. */
    UNKNOWN_WORKFLOW,
    /** Nothing was recorded, and nothing will be. */
    REFUSED
  }

  private static final Logger LOG = LogManager.getLogger(SubmissionService.class);

  /** A refused write is repeated for this long before the submitter is told to come back, in ms. */
  private static final long GIVE_UP_MILLIS = 700;

  /** A replica confirmed within this time answers for unknown workflows after one more read. */
  private static final long CONFIRMED_WITHIN_MILLIS = 2_500;

  private final WorkflowReplica workflows;
  private final TableFollower follower;
  private final TableWriter writer;
  private final LongSupplier clock;
  private final WorkflowRecords records = new WorkflowRecords();

  public SubmissionService(
      WorkflowReplica workflows, TableFollower follower, TableWriter writer, LongSupplier clock) {
    this.workflows = workflows;
    this.follower = follower;
    this.writer = writer;
    this.clock = clock;
  }

  /** Returns whether this host's copy of the table follows the log. */
  public boolean isCurrent() {
    return follower.isLoaded()
        && clock.getAsLong() - follower.confirmedMillis() < CONFIRMED_WITHIN_MILLIS;
  }

  /** Submits a workflow; one that is known already is accepted again without effect. */
  public CompletableFuture<Result> submit(WorkflowSpec spec) {
    if (workflows.state(spec.id()).isPresent()) {
      return CompletableFuture.completedFuture(Result.ACCEPTED);
    }
    LOG.info(
        "event=submission workflow={} queue={} steps={}",
        spec.id(),
        spec.policy().queue(),
        spec.outline());
    return append(spec.id(), "submit", List.of(records.submission(spec)));
  }

  /** Cancels a workflow; one that has ended stays as it is. */
  public CompletableFuture<Result> cancel(String id) {
    Optional<WorkflowState> state = current(id);
    if (state.isEmpty()) {
      Result result = isCurrent() ? Result.UNKNOWN_WORKFLOW : Result.REFUSED;
      return CompletableFuture.completedFuture(result);
    }
    if (state.get().isFinal()) {
      return CompletableFuture.completedFuture(Result.ACCEPTED);
    }
    return append(id, "cancel", List.of(records.cancellation(id)));
  }

  private CompletableFuture<Result> append(String id, String operation, List<TableRecord> written) {
    long started = clock.getAsLong();
    return writer
        .append(written, started + GIVE_UP_MILLIS)
        .thenApply(
            outcome -> {
              boolean isWritten = outcome == TableWriter.Outcome.WRITTEN;
              LOG.info(
                  "event={} workflow={} outcome={} millis={}",
                  operation,
                  id,
                  outcome,
                  clock.getAsLong() - started);
              return isWritten ? Result.ACCEPTED : Result.REFUSED;
            });
  }

  /** Returns the state of a workflow, after one more read of the log if it is unknown here. */
  public Optional<WorkflowState> current(String id) {
    Optional<WorkflowState> state = workflows.state(id);
    if (state.isEmpty() && follower.refresh()) {
      state = workflows.state(id);
    }
    return state;
  }

  /** Returns how many workflows of a queue have no started task. */
  public int waiting(String queue) {
    return workflows.waiting(queue);
  }
}
