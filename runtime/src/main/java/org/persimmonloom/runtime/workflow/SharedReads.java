package org.persimmonloom.runtime.workflow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads that callers share, each of which gets one that begins after its call. Any number of calls
 * causes few reads. Safe for any thread.
 */
final class SharedReads {
  private static final Logger LOG = LogManager.getLogger(SharedReads.class);

  /** One at work, and one that waits for it and follows at once; see {@link ReadTurn}. */
  private static final int MAX_IN_PROGRESS = 2;

  private final Executor executor;
  private final BooleanSupplier read;
  private int inProgress;

  /** Result of the next read to begin; null if nobody waits for one. */
  private CompletableFuture<Boolean> next;

  /**
   * Creates shared reads.
   *
   * @param executor carries reads out on other threads
   * @param read carries out a read and returns whether it succeeded
   */
  SharedReads(Executor executor, BooleanSupplier read) {
    this.executor = executor;
    this.read = read;
  }

  /** Returns whether a read that begins after this call succeeds; never fails. */
  synchronized CompletableFuture<Boolean> readAfterCall() {
    if (next == null) {
      next = new CompletableFuture<>();
    }
    CompletableFuture<Boolean> result = next;
    if (inProgress < MAX_IN_PROGRESS) {
      begin();
    }
    return result;
  }

  private synchronized void begin() {
    CompletableFuture<Boolean> result = next;
    next = null;
    inProgress++;
    try {
      executor.execute(() -> run(result));
    } catch (RejectedExecutionException e) {
      // The host is stopping.
      notBegun(result);
    } catch (RuntimeException | Error e) {
      // There may be no memory for another thread now.
      LOG.error("event=attempt_failed", e);
      notBegun(result);
    }
  }

  private synchronized void notBegun(CompletableFuture<Boolean> result) {
    inProgress--;
    result.complete(false);
  }

  private void run(CompletableFuture<Boolean> result) {
    boolean isRead = false;
    try {
      isRead = read.getAsBoolean();
    } catch (RuntimeException | Error e) {
      LOG.error("event=attempt_failed", e);
    } finally {
      ended();
      result.complete(isRead);
    }
  }

  private synchronized void ended() {
    inProgress--;
    if (next != null) {
      begin();
    }
  }
}
