package org.persimmonloom.runtime.caller;

import java.util.concurrent.CompletableFuture;

/** An accepted request in progress. Safe for any thread. */
public interface RequestHandle {
  /** Completes once, never exceptionally. */
  CompletableFuture<CallerAnswer> answer();

  /** Says that the caller is gone: drops queued work, and ends repeatable work at an endpoint. */
  void cancel();

  /** Ends whatever is left because the process stops; dispatched work becomes unknown. */
  void end();
}
