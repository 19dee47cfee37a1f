package org.persimmonloom.runtime.workflow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * An action of which one run at most is in progress, which all callers share. Safe for any thread.
 */
final class SharedAttempt {
  private static final Logger LOG = LogManager.getLogger(SharedAttempt.class);

  private final Executor executor;
  private final LongSupplier clock;
  private final Runnable action;
  private Run last = new Run(Long.MIN_VALUE, CompletableFuture.completedFuture(null));

  private record Run(long startMillis, CompletableFuture<Void> end) {}

  /**
   * Creates an attempt.
   *
   * @param executor carries the action out on another thread
   * @param clock monotonic clock in milliseconds
   */
  SharedAttempt(Executor executor, LongSupplier clock, Runnable action) {
    this.executor = executor;
    this.clock = clock;
    this.action = action;
  }

  /** Completes after a run that began at {@code earliestMillis} or later, and never fails. */
  CompletableFuture<Void> runSince(long earliestMillis) {
    Run current = currentRun();
    return current.startMillis >= earliestMillis
        ? current.end
        : current.end.thenCompose(ended -> currentRun().end);
  }

  /** Returns the run in progress; starts one if there is none. */
  private synchronized Run currentRun() {
    if (last.end.isDone()) {
      CompletableFuture<Void> end = new CompletableFuture<>();
      last = new Run(clock.getAsLong(), end);
      begin(end);
    }
    return last;
  }

  private void begin(CompletableFuture<Void> end) {
    try {
      executor.execute(() -> run(end));
    } catch (RuntimeException | Error e) {
      // The host is stopping, or there may be no memory for another thread now.
      LOG.error("event=attempt_failed", e);
      end.complete(null);
    }
  }

  private void run(CompletableFuture<Void> end) {
    try {
      action.run();
    } catch (RuntimeException | Error e) {
      LOG.error("event=attempt_failed", e);
    } finally {
      end.complete(null);
    }
  }
}
