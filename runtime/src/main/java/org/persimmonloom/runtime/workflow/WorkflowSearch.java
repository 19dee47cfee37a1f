package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.WorkflowState;

/**
 * Finds workflows in this host's replica, in the log and at other hosts.
 *
 * <p>A workflow is unknown only by a read up to the end of the log that was sent after the question
 * arrived, by this host or by one that it asks. The age of a replica proves nothing: another host
 * may have accepted the workflow since. Safe for any thread.
 */
final class WorkflowSearch {
  private static final Logger LOG = LogManager.getLogger(WorkflowSearch.class);

  /**
   * Maximum time since this host's replica caught up with the log for the replica to count as
   * current.
   */
  static final long MAX_REPLICA_AGE_MILLIS = 2_500;

  /** Time that a caller waits; one call to the platform, and more than the queries to hosts. */
  private static final long WAIT_MILLIS = 1_000;

  private static final int UNKNOWN_WORKFLOW_LINES_PER_SECOND = 50;

  private final WorkflowReplica workflows;
  private final TableFollower follower;
  private final PeerClient peers;
  private final HostDirectory hosts;
  private final WorkflowMetrics metrics;
  private final LongSupplier clock;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(DaemonThreads.named("search-workflow"));
  private final SharedReads reads;
  private final PeerQueries peerQueries;
  private final LogLimit unknownLines = new LogLimit(UNKNOWN_WORKFLOW_LINES_PER_SECOND);

  /**
   * Creates a search.
   *
   * @param clock monotonic clock in milliseconds
   */
  WorkflowSearch(
      WorkflowReplica workflows,
      TableFollower follower,
      PeerClient peers,
      HostDirectory hosts,
      WorkflowMetrics metrics,
      LongSupplier clock) {
    this.workflows = workflows;
    this.follower = follower;
    this.peers = peers;
    this.hosts = hosts;
    this.metrics = metrics;
    this.clock = clock;
    reads = new SharedReads(threads, follower::refresh);
    peerQueries = new PeerQueries(hosts, follower, threads);
  }

  void stop() {
    threads.shutdownNow();
  }

  /** Returns whether this host's replica has caught up with the log a short time ago. */
  boolean isCurrent() {
    return follower.isLoaded() && follower.ageMillis() < MAX_REPLICA_AGE_MILLIS;
  }

  /**
   * Looks a workflow up for a caller. If the replica does not have it, the log is read, and other
   * hosts are asked if that does not succeed soon; so are they about the state in an old replica.
   */
  CompletableFuture<WorkflowLookup> search(String id, String operation) {
    // Before the state: a replica that becomes current later may not have been so then.
    boolean isCurrent = isCurrent();
    Optional<WorkflowState> state = workflows.state(id);
    if (state.isEmpty()) {
      return searchBeyondReplica(id, operation);
    }
    if (isCurrent || state.get().isFinal()) {
      return CompletableFuture.completedFuture(WorkflowLookup.found(state.get()));
    }
    return queryPeers(id, new CopyOnWriteArrayList<>(), answer -> answer.state().isPresent())
        .thenApply(
            answer ->
                WorkflowLookup.found(
                    answer.flatMap(PeerClient.StateAnswer::state).orElseGet(state::get)));
  }

  private CompletableFuture<WorkflowLookup> searchBeyondReplica(String id, String operation) {
    long startMillis = clock.getAsLong();
    List<String> peerAnswers = new CopyOnWriteArrayList<>();
    CompletableFuture<WorkflowLookup> result = new CompletableFuture<>();
    CompletableFuture<Boolean> read = reads.readAfterCall();
    CompletableFuture<Void> byLog =
        read.thenAccept(isRead -> completeIfDecided(result, lookUp(id, isRead)));
    CompletableFuture<Void> byPeers =
        queryPeersUnlessDecided(id, read, result, peerAnswers)
            .thenAccept(
                answer ->
                    answer.ifPresent(
                        known -> result.complete(new WorkflowLookup(known.state(), true))));
    CompletableFuture.allOf(byLog, byPeers).thenRun(() -> result.complete(lookUp(id, false)));
    return result
        .completeOnTimeout(null, WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .thenApply(decided -> decided == null ? lookUp(id, false) : decided)
        .thenApply(
            lookup -> {
              if (lookup.state().isEmpty()) {
                logNotFound(lookup, id, operation, evidence(startMillis, read, peerAnswers));
              }
              return lookup;
            });
  }

  private WorkflowLookup lookUp(String id, boolean isRead) {
    return new WorkflowLookup(workflows.state(id), isRead);
  }

  private static void completeIfDecided(
      CompletableFuture<WorkflowLookup> result, WorkflowLookup lookup) {
    if (lookup.state().isPresent() || lookup.isUnknown()) {
      result.complete(lookup);
    }
  }

  /** Asks other hosts once the read of the log has failed, or soon if it has no answer. */
  private CompletableFuture<Optional<PeerClient.StateAnswer>> queryPeersUnlessDecided(
      String id,
      CompletableFuture<Boolean> read,
      CompletableFuture<WorkflowLookup> result,
      List<String> peerAnswers) {
    return peerQueries
        .readOrDelay(read)
        .thenCompose(
            any ->
                result.isDone() || (read.isDone() && read.join())
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : queryPeers(id, peerAnswers, answer -> true));
  }

  /** Asks other hosts at the same time; returns the first answer that is accepted. */
  private CompletableFuture<Optional<PeerClient.StateAnswer>> queryPeers(
      String id, List<String> answers, Predicate<PeerClient.StateAnswer> isAccepted) {
    return peerQueries.first(address -> query(address, id, answers).filter(isAccepted));
  }

  private Optional<PeerClient.StateAnswer> query(String address, String id, List<String> answers) {
    PeerClient.StateAnswer answer = peers.state(address, id);
    answers.add(address + '=' + answer);
    if (!answer.isAnswered()) {
      hosts.recordFailure(address);
      return Optional.empty();
    }
    hosts.recordSuccess(address);
    return Optional.of(answer);
  }

  /** Looks a workflow up for another host, in the replica and the log only. */
  CompletableFuture<WorkflowLookup> searchForPeer(String id) {
    boolean isCurrent = isCurrent();
    Optional<WorkflowState> state = workflows.state(id);
    if (state.isPresent() && (isCurrent || state.get().isFinal())) {
      return CompletableFuture.completedFuture(WorkflowLookup.found(state.get()));
    }
    return reads
        .readAfterCall()
        .copy()
        .completeOnTimeout(false, PeerQueries.ANSWER_MILLIS, TimeUnit.MILLISECONDS)
        .thenApply(isRead -> lookUp(id, isRead));
  }

  private LookupEvidence evidence(
      long startMillis, CompletableFuture<Boolean> read, List<String> peerAnswers) {
    String result = "unanswered";
    if (read.isDone()) {
      result = read.join() ? "ok" : "failed";
    }
    return new LookupEvidence(
        follower.ageMillis(), follower.end(), result, clock.getAsLong() - startMillis, peerAnswers);
  }

  /** Writes a line if the workflow was not found, so that the answer can be explained. */
  private void logNotFound(
      WorkflowLookup lookup, String id, String operation, LookupEvidence evidence) {
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
          evidence);
    }
  }
}
