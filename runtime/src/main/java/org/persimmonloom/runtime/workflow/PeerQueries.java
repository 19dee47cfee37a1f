package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Asks other hosts what a read of the log on this host has not answered. Safe for any thread.
 *
 * <p>Several are asked at the same time, since the store may turn some of them away too, and some
 * may stand still.
 */
final class PeerQueries {
  /** Time that another host waits for this host's read; less than the timeout of its query. */
  static final long ANSWER_MILLIS = 300;

  private static final int MAX_HOSTS_ASKED = 3;

  /** Time after which other hosts are asked beside the log; several usual reads. */
  private static final long DELAY_MILLIS = 150;

  private final HostDirectory hosts;
  private final TableFollower follower;
  private final Executor threads;

  /**
   * Creates queries.
   *
   * @param follower reads the table that the queries are about
   * @param threads carry out the queries, which block
   */
  PeerQueries(HostDirectory hosts, TableFollower follower, Executor threads) {
    this.hosts = hosts;
    this.follower = follower;
    this.threads = threads;
  }

  /**
   * Completes once a read of the log has ended, or soon if it has no answer; at once while the log
   * is known not to answer.
   */
  CompletableFuture<?> readOrDelay(CompletableFuture<?> read) {
    CompletableFuture<Void> delay = new CompletableFuture<>();
    delay.completeOnTimeout(null, follower.isAvailable() ? DELAY_MILLIS : 0, TimeUnit.MILLISECONDS);
    return CompletableFuture.anyOf(read, delay);
  }

  /**
   * Asks some hosts at the same time; returns the first usable answer, or none after the last query
   * has ended.
   *
   * @param query asks the host at an address; empty without a usable answer
   */
  <T> CompletableFuture<Optional<T>> first(Function<String, Optional<T>> query) {
    CompletableFuture<Optional<T>> first = new CompletableFuture<>();
    CompletableFuture<?>[] queries =
        hosts.otherAddresses().stream()
            .limit(MAX_HOSTS_ASKED)
            .map(
                address ->
                    CompletableFuture.runAsync(
                        () ->
                            query
                                .apply(address)
                                .ifPresent(answer -> first.complete(Optional.of(answer))),
                        threads))
            .toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(queries).whenComplete((all, error) -> first.complete(Optional.empty()));
    return first;
  }
}
