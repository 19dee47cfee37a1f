package org.persimmonloom.runtime.caller;

import java.util.concurrent.CompletableFuture;

/** An accepted request in progress. Safe for any thread. */
public interface RequestHandle {
  /** Completes once, never exceptionally. */
  CompletableFuture<CallerAnswer> answer();

  /**
   * Cancels the request because the caller disconnected: removes it from the queue, and aborts a
   * repeatable request that was sent to an endpoint.
   */
  void cancel();

  /** Ends the request because the process stops; the outcome of a dispatched request is unknown. */
  void end();
}
