package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TextDigest;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;

/**
 * Accepts and cancels workflows and returns their states on one entry host.
 *
 * <p>A submission is accepted when its record is durable. It is refused only if no attempt to write
 * the record can have succeeded; otherwise its result stays undetermined, and the submitter has to
 * submit again. Safe for any thread.
 */
public final class SubmissionService {
  /** Result of a submission or a cancellation. */
  public enum Result {
    ACCEPTED,
    /** The workflow is unknown. */
    UNKNOWN_WORKFLOW,
    /** Nothing was recorded, and nothing will be recorded later. */
    REFUSED,
    /** Nothing was recorded, and the store would reject the same records again. */
    REJECTED
  }

  private static final Logger LOG = LogManager.getLogger(SubmissionService.class);

  private static final int MAX_PEERS_TRIED = 2;
  private final WorkflowReplica workflows;
  private final WorkflowSearch search;
  private final TableWriter writer;
  private final PeerClient peers;
  private final HostDirectory hosts;
  private final SubmissionLimits limits;
  private final WorkflowMetrics metrics;
  private final LongSupplier clock;
  private final WorkflowRecords records = new WorkflowRecords();

  SubmissionService(
      WorkflowReplica workflows,
      TableFollower follower,
      TableWriter writer,
      PeerClient peers,
      HostDirectory hosts,
      SubmissionLimits limits,
      WorkflowMetrics metrics,
      LongSupplier clock) {
    this.metrics = metrics;
    this.workflows = workflows;
    search = new WorkflowSearch(workflows, follower, peers, hosts, metrics, clock);
    this.writer = writer;
    this.peers = peers;
    this.hosts = hosts;
    this.limits = limits;
    this.clock = clock;
  }

  void stop() {
    search.stop();
  }

  /**
   * Returns whether this host's replica of the table has caught up with the log a short time ago.
   * That does not prove that a workflow which it does not have is unknown.
   */
  public boolean isCurrent() {
    return search.isCurrent();
  }

  /** Returns whether this host's replica has the workflow. */
  public boolean isKnown(String id) {
    return workflows.state(id).isPresent();
  }

  /** Submits a workflow; a workflow that exists already is accepted again without effect. */
  public CompletableFuture<Result> submit(WorkflowSpec spec) {
    if (isKnown(spec.id())) {
      return CompletableFuture.completedFuture(Result.ACCEPTED);
    }
    LOG.info(
        "event=submission workflow={} queue={} steps={} spec={}",
        spec.id(),
        spec.policy().queue(),
        spec.outline(),
        TextDigest.of(spec.payload()));
    return append(spec.id(), "submit", List.of(records.submission(spec)));
  }

  /**
   * Cancels a workflow; no effect if it has ended. The cancellation of an unknown workflow is
   * recorded too: a submission of it without an answer may still be appended, and starts nothing
   * then.
   */
  public CompletableFuture<Result> cancel(String id) {
    return search.search(id, "cancel").thenCompose(lookup -> cancel(id, lookup));
  }

  private CompletableFuture<Result> cancel(String id, WorkflowLookup lookup) {
    if (lookup.isUnknown()) {
      return append(id, "cancel_unknown", List.of(records.cancellation(id)))
          .thenApply(result -> result == Result.ACCEPTED ? Result.UNKNOWN_WORKFLOW : result);
    }
    if (lookup.state().isEmpty()) {
      return CompletableFuture.completedFuture(Result.REFUSED);
    }
    if (lookup.state().get().isFinal()) {
      return CompletableFuture.completedFuture(Result.ACCEPTED);
    }
    return append(id, "cancel", List.of(records.cancellation(id)));
  }

  /**
   * Appends records, also through another host if this host's own append does not succeed in time.
   * The records are idempotent, so both appends may succeed.
   */
  private CompletableFuture<Result> append(
      String id, String operation, List<TableRecord> appended) {
    long started = clock.getAsLong();
    CompletableFuture<Result> result = new CompletableFuture<>();
    CompletableFuture<TableWriter.Outcome> ownAppend =
        writer.append(appended, started + limits.appendTimeoutMillis());
    ownAppend.thenAccept(
        outcome -> {
          if (outcome == TableWriter.Outcome.WRITTEN) {
            result.complete(Result.ACCEPTED);
          } else if (outcome == TableWriter.Outcome.REJECTED) {
            result.complete(Result.REJECTED);
          }
        });
    long delay = writer.isFailing() ? 0 : limits.peerDelayMillis();
    CompletableFuture.delayedExecutor(delay, TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              if (!result.isDone()) {
                appendThroughPeer(appended, ownAppend, result);
              }
            });
    result.thenAccept(
        finalResult -> {
          metrics
              .submissionSeconds
              .labelValues(operation, finalResult.name())
              .observe(WorkflowMetrics.seconds(clock.getAsLong() - started));
          LOG.info(
              "event={} workflow={} result={} own={} millis={}",
              operation,
              id,
              finalResult,
              ownAppend.getNow(null),
              clock.getAsLong() - started);
        });
    return result;
  }

  private void appendThroughPeer(
      List<TableRecord> appended,
      CompletableFuture<TableWriter.Outcome> ownAppend,
      CompletableFuture<Result> result) {
    boolean isUncertain = false;
    List<String> addresses = hosts.otherAddresses();
    for (String address : addresses.subList(0, Math.min(MAX_PEERS_TRIED, addresses.size()))) {
      if (result.isDone()) {
        return;
      }
      PeerClient.AppendAnswer answer =
          peers.append(address, appended, limits.peerAppendTimeoutMillis());
      if (answer == PeerClient.AppendAnswer.WRITTEN) {
        hosts.recordSuccess(address);
        result.complete(Result.ACCEPTED);
        return;
      }
      hosts.recordFailure(address);
      isUncertain |= answer == PeerClient.AppendAnswer.UNKNOWN;
    }
    if (!isUncertain) {
      ownAppend.thenAccept(
          outcome -> {
            if (outcome != TableWriter.Outcome.WRITTEN) {
              result.complete(Result.REFUSED);
            }
          });
    }
  }

  /**
   * Looks a workflow up; see {@link WorkflowSearch#search}. Waits for the log and other hosts if
   * this host's replica does not have it.
   */
  public WorkflowLookup lookUp(String id) {
    return search.search(id, "show").join();
  }

  /** Looks a workflow up for another host. */
  CompletableFuture<WorkflowLookup> lookUpForPeer(String id) {
    return search.searchForPeer(id);
  }

  /** Returns the number of workflows of a queue without a started task. */
  public int pendingCount(String queue) {
    return workflows.pendingCount(queue);
  }
}
