package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Makes sure that the configuration in force is recent enough for a decision, by the log and, if
 * the log does not answer this host, by other hosts.
 *
 * <p>Reads are shared by all waiting decisions, and a recent one serves further decisions, so that
 * any number of requests causes few reads a second. The configuration is confirmed at a time if it
 * includes every write that had been acknowledged by then. Safe for any thread.
 */
final class ConfigurationVerifier {
  private static final Logger LOG = LogManager.getLogger(ConfigurationVerifier.class);

  /** Pause after failed reads, during which further decisions do not wait. */
  private static final long RETRY_INTERVAL_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final OperationsReplica operations;
  private final TableFollower follower;
  private final PeerClient peers;
  private final HostDirectory hosts;
  private final LongSupplier clock;
  private final ExecutorService threads;
  private final SharedAttempt logRead;
  private final PeerQueries peerQueries;
  private final SharedAttempt peerAttempt;
  private volatile long confirmedByPeersMillis = NEVER;

  /** When the last read on demand has failed; reset by one that succeeds. */
  private volatile long failedMillis = NEVER;

  /**
   * Creates a verifier.
   *
   * @param clock monotonic clock in milliseconds, as that of the follower
   */
  ConfigurationVerifier(
      OperationsReplica operations,
      TableFollower follower,
      PeerClient peers,
      HostDirectory hosts,
      LongSupplier clock) {
    this.operations = operations;
    this.follower = follower;
    this.peers = peers;
    this.hosts = hosts;
    this.clock = clock;
    threads = Executors.newCachedThreadPool(DaemonThreads.named("verify-configuration"));
    logRead = new SharedAttempt(threads, clock, follower::refresh);
    peerQueries = new PeerQueries(hosts, follower, threads);
    peerAttempt = new SharedAttempt(threads, clock, () -> peerQueries.first(this::query).join());
  }

  void stop() {
    threads.shutdownNow();
  }

  /** Returns the time for which the configuration in force is known to be the newest one, in ms. */
  long ageMillis() {
    return clock.getAsLong() - confirmedMillis();
  }

  private long confirmedMillis() {
    return Math.max(follower.caughtUpMillis(), confirmedByPeersMillis);
  }

  private boolean isConfirmedAt(long millis) {
    return operations.configuration().isPresent() && confirmedMillis() >= millis;
  }

  /** Returns whether the configuration has become old and the last reads on demand have failed. */
  boolean isFailing() {
    return failedMillis != NEVER && !isConfirmed(RequestRouter.MAX_AGE_OF_KNOWN_MILLIS);
  }

  /** Returns whether the configuration in force was the newest one at most some time ago. */
  boolean isConfirmed(long maxAgeMillis) {
    return isConfirmedAt(clock.getAsLong() - maxAgeMillis);
  }

  /**
   * Reads the configuration unless it is confirmed; returns false if that does not succeed in time.
   */
  CompletableFuture<Boolean> confirm(long maxAgeMillis, long timeoutMillis) {
    long nowMillis = clock.getAsLong();
    long neededMillis = nowMillis - maxAgeMillis;
    if (isConfirmedAt(neededMillis)) {
      return CompletableFuture.completedFuture(true);
    }
    if (isFailing() && nowMillis - failedMillis < RETRY_INTERVAL_MILLIS) {
      return CompletableFuture.completedFuture(false);
    }
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    CompletableFuture<Void> byLog = logRead.runSince(neededMillis);
    CompletableFuture<Void> byPeers = queryPeersUnlessConfirmed(byLog, neededMillis);
    byLog.thenRun(() -> completeIfConfirmed(result, neededMillis));
    byPeers.thenRun(() -> completeIfConfirmed(result, neededMillis));
    CompletableFuture.allOf(byLog, byPeers)
        .thenRun(() -> result.complete(isConfirmedAt(neededMillis)));
    result.completeOnTimeout(false, timeoutMillis, TimeUnit.MILLISECONDS);
    return result.thenApply(
        isConfirmed -> {
          if (!isConfirmed) {
            failedMillis = clock.getAsLong();
          }
          return isConfirmed;
        });
  }

  /** Asks other hosts once the read of the log has failed, or soon if it has no answer. */
  private CompletableFuture<Void> queryPeersUnlessConfirmed(
      CompletableFuture<Void> byLog, long neededMillis) {
    return peerQueries
        .readOrDelay(byLog)
        .thenCompose(
            any ->
                isConfirmedAt(neededMillis)
                    ? CompletableFuture.completedFuture(null)
                    : peerAttempt.runSince(neededMillis));
  }

  private void completeIfConfirmed(CompletableFuture<Boolean> result, long neededMillis) {
    if (isConfirmedAt(neededMillis)) {
      failedMillis = NEVER;
      result.complete(true);
    }
  }

  /**
   * Returns what this host knows, for another one that knows {@code version}, after a read of the
   * log unless it is confirmed; empty without a configuration.
   */
  CompletableFuture<Optional<PeerClient.Configuration>> answerPeer(
      long version, long maxAgeMillis) {
    CompletableFuture<Void> read =
        isConfirmed(maxAgeMillis)
            ? CompletableFuture.completedFuture(null)
            : logRead.runSince(clock.getAsLong() - maxAgeMillis);
    return read.copy()
        .completeOnTimeout(null, PeerQueries.ANSWER_MILLIS, TimeUnit.MILLISECONDS)
        .thenApply(ended -> answer(version));
  }

  private Optional<PeerClient.Configuration> answer(long version) {
    // Before the record: one that is read later may only be newer.
    long ageMillis = ageMillis();
    return operations
        .inForce()
        .map(
            known -> {
              StoredRecord stored = known.stored();
              boolean isNewer = known.configuration().version() > version;
              List<TableRecord> newer = isNewer ? List.of(stored.record()) : List.of();
              return new PeerClient.Configuration(ageMillis, stored.offset(), newer);
            });
  }

  /** Asks a host for the newest configuration; empty unless the answer is recent. */
  private Optional<PeerClient.Configuration> query(String address) {
    long sentMillis = clock.getAsLong();
    long version = operations.configuration().map(FleetConfiguration::version).orElse(-1L);
    Optional<PeerClient.Configuration> answer =
        peers.configuration(address, version, RequestRouter.MAX_AGE_OF_UNKNOWN_MILLIS);
    answer.ifPresent(configuration -> adopt(configuration, sentMillis, address));
    Optional<PeerClient.Configuration> recent = answer.filter(ConfigurationVerifier::isRecent);
    if (recent.isPresent()) {
      hosts.recordSuccess(address);
    } else {
      hosts.recordFailure(address);
    }
    return recent;
  }

  private static boolean isRecent(PeerClient.Configuration answer) {
    return answer.ageMillis() <= RequestRouter.MAX_AGE_OF_KNOWN_MILLIS;
  }

  private void adopt(PeerClient.Configuration answer, long sentMillis, String address) {
    for (TableRecord record : answer.newer()) {
      LOG.info(
          "event=configuration_from_host address={} offset={} age_ms={}",
          address,
          answer.offset(),
          answer.ageMillis());
      operations.apply(new StoredRecord(answer.offset(), record));
    }
    confirmedByPeers(sentMillis - answer.ageMillis());
  }

  private synchronized void confirmedByPeers(long millis) {
    confirmedByPeersMillis = Math.max(confirmedByPeersMillis, millis);
  }
}
