package org.persimmonloom.runtime.workflow;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.PermitRequest;

/** Requests permits of the placement policy service without blocking. Safe for any thread. */
final class PermitRequests {
  private static final Logger LOG = LogManager.getLogger(PermitRequests.class);

  private final PlacementPolicyService service;
  private final Executor callExecutor;
  private final LongSupplier clock;

  /**
   * Creates the requests of one term.
   *
   * @param callExecutor runs the calls, which block
   * @param clock monotonic clock in milliseconds
   */
  PermitRequests(PlacementPolicyService service, Executor callExecutor, LongSupplier clock) {
    this.service = service;
    this.callExecutor = callExecutor;
    this.clock = clock;
  }

  /** Sends a request; {@code whenAnswered} receives the permits by worker, or empty on failure. */
  void send(PermitRequest request, Consumer<Optional<Map<String, String>>> whenAnswered) {
    long sent = clock.getAsLong();
    callExecutor.execute(
        () -> {
          Optional<Map<String, String>> granted =
              PlatformCalls.resultOr(
                  Optional.empty(), "permits", () -> service.requestPermits(request));
          LOG.info(
              "event=permits step={} workers={} granted={} millis={}",
              request.step(),
              request.workers().size(),
              granted.map(Map::size).orElse(-1),
              clock.getAsLong() - sent);
          whenAnswered.accept(granted);
        });
  }
}
