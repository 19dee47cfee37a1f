package org.persimmonloom.runtime.endpoint;

import java.util.concurrent.CompletableFuture;

/** An attempt in progress. Safe for any thread. */
public interface EndpointCall {
  /** Completes, never exceptionally, when the attempt has ended. */
  CompletableFuture<EndpointResult> result();

  /** Ends the attempt and closes its connection. */
  void cancel();
}
