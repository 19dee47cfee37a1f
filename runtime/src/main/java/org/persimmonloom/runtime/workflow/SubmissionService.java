package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TextDigest;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

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
  private static final int UNKNOWN_WORKFLOW_LINES_PER_SECOND = 50;

  /**
   * Maximum time since this host's replica caught up with the log for the replica to count as
   * current.
   */
  private static final long MAX_REPLICA_AGE_MILLIS = 2_500;

  private final WorkflowReplica workflows;
  private final TableFollower follower;
  private final TableWriter writer;
  private final PeerClient peers;
  private final HostDirectory hosts;
  private final SubmissionLimits limits;
  private final WorkflowMetrics metrics;
  private final LongSupplier clock;
  private final WorkflowRecords records = new WorkflowRecords();
  private final LogLimit unknownLines = new LogLimit(UNKNOWN_WORKFLOW_LINES_PER_SECOND);

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
    this.follower = follower;
    this.writer = writer;
    this.peers = peers;
    this.hosts = hosts;
    this.limits = limits;
    this.clock = clock;
  }

  /** Returns whether this host's replica of the table is current. */
  public boolean isCurrent() {
    return follower.isLoaded() && follower.ageMillis() < MAX_REPLICA_AGE_MILLIS;
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

  /** Cancels a workflow; no effect if it has ended. */
  public CompletableFuture<Result> cancel(String id) {
    WorkflowLookup lookup = lookUp(id, "cancel");
    if (lookup.state().isEmpty()) {
      Result result = lookup.isUnknown() ? Result.UNKNOWN_WORKFLOW : Result.REFUSED;
      return CompletableFuture.completedFuture(result);
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

  /** Looks a workflow up in this host's replica. */
  WorkflowLookup lookUpLocally(String id) {
    // Before the search: a replica that becomes current later may not have been so during it.
    boolean isConclusive = isCurrent();
    return new WorkflowLookup(workflows.state(id), isConclusive);
  }

  /**
   * Looks a workflow up. If this host's replica does not have it, the log is read once more; if the
   * replica is not current, other hosts are queried.
   */
  public WorkflowLookup lookUp(String id) {
    return lookUp(id, "show");
  }

  private WorkflowLookup lookUp(String id, String operation) {
    WorkflowLookup local = lookUpLocally(id);
    Optional<WorkflowState> state = local.state();
    if (state.isPresent() && (state.get().isFinal() || local.isConclusive())) {
      return local;
    }
    String read = "none";
    if (state.isEmpty()) {
      if (follower.refresh()) {
        return logged(lookUpLocally(id), id, operation, "ok", List.of());
      }
      read = "failed";
    }
    List<String> peerAnswers = new ArrayList<>();
    WorkflowLookup lookup =
        lookUpAtPeers(id, peerAnswers)
            .map(found -> new WorkflowLookup(Optional.of(found), false))
            .orElseGet(() -> lookUpLocally(id));
    return logged(lookup, id, operation, read, peerAnswers);
  }

  /** Writes a line if the workflow was not found, so that the answer can be explained. */
  private WorkflowLookup logged(
      WorkflowLookup lookup, String id, String operation, String read, List<String> peerAnswers) {
    if (lookup.state().isPresent()) {
      return lookup;
    }
    if (lookup.isUnknown()) {
      metrics.unknownWorkflows.labelValues(operation).inc();
    }
    if (unknownLines.mayLog(clock.getAsLong())) {
      LOG.info(
          "event=workflow_{} workflow={} operation={} suppressed={} {}",
          lookup.isUnknown() ? "unknown" : "unconfirmed",
          id,
          operation,
          unknownLines.takeSuppressed(),
          new LookupEvidence(follower.ageMillis(), follower.end(), read, peerAnswers));
    }
    return lookup;
  }

  private Optional<WorkflowState> lookUpAtPeers(String id, List<String> answers) {
    List<String> addresses = hosts.otherAddresses();
    for (String address : addresses.subList(0, Math.min(MAX_PEERS_TRIED, addresses.size()))) {
      PeerClient.StateAnswer answer = peers.state(address, id);
      answers.add(address + '=' + answer);
      if (answer.isAnswered()) {
        hosts.recordSuccess(address);
        return answer.state();
      }
      hosts.recordFailure(address);
    }
    return Optional.empty();
  }

  /** Returns the number of workflows of a queue without a started task. */
  public int pendingCount(String queue) {
    return workflows.pendingCount(queue);
  }
}
