package org.persimmonloom.runtime.caller;

import java.time.InstantSource;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.routing.Assignment;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.WorkClass;
import org.persimmonloom.runtime.endpoint.EndpointCall;
import org.persimmonloom.runtime.endpoint.EndpointRequest;
import org.persimmonloom.runtime.endpoint.EndpointResult;
import org.persimmonloom.runtime.endpoint.EndpointSender;

/** Services that all requests in progress share. Safe for any thread. */
@Singleton
final class RequestContext {
  /** Longest time without a byte from an endpoint, regardless of the deadline. */
  private static final long MAX_NO_PROGRESS_MILLIS = 30_000;

  /**
   * A first attempt of a short request fails after this multiple of the limit for short requests
   * without a byte. A retry has the limits of other work, because the work class may have been
   * wrong.
   */
  private static final int SHORT_LIMIT_FACTOR = 3;

  private static final long BACKOFF_MILLIS = 10;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  final RoutingTable routing;
  final RequestMetrics metrics;
  final RequestTimer timer;
  final InstantSource clock;
  private final EndpointSender sender;
  private final AtomicLong nextId = new AtomicLong();
  private final String attemptPrefix =
      Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";

  @Inject
  RequestContext(
      RoutingTable routing,
      RequestMetrics metrics,
      RequestTimer timer,
      InstantSource clock,
      EndpointSender sender) {
    this.routing = routing;
    this.metrics = metrics;
    this.timer = timer;
    this.clock = clock;
    this.sender = sender;
  }

  long nextId() {
    return nextId.incrementAndGet();
  }

  long now() {
    return clock.millis();
  }

  /** Sends one attempt of the request to the endpoint of the assignment. */
  EndpointCall send(
      CallerRequest request, ServiceDefinition service, Assignment assignment, int attempt) {
    long leftMillis = Math.max(1, request.deadlineMillis() - now());
    boolean isLimitedAsShort =
        service.isRepeatable() && attempt == 0 && assignment.workClass() == WorkClass.SHORT;
    long progressMillis =
        isLimitedAsShort
            ? Math.min(leftMillis, SHORT_LIMIT_FACTOR * service.shortLimitMillis())
            : Math.min(leftMillis, MAX_NO_PROGRESS_MILLIS);
    return sender.send(
        assignment.endpoint(),
        new EndpointRequest(
            request.method(),
            request.target(),
            request.headers(),
            request.body(),
            attemptPrefix + nextId(),
            leftMillis,
            progressMillis,
            Math.max(1, service.connectionsPerEndpoint() / routing.entryHostCount()),
            service.isRepeatable()));
  }

  /** Releases the slot and records the result of the attempt. */
  void recordAttemptEnd(
      ServiceDispatcher dispatcher, Assignment assignment, EndpointResult result) {
    metrics.countAttempt(dispatcher.service().name(), result.result());
    if (result.result() == AttemptResult.NOT_CONNECTED && result.isRefused()) {
      routing.recordRefusedConnection(assignment.endpoint().name());
    }
    dispatcher.releaseSlot(assignment, result.result(), result.runMillis());
  }

  /** Returns the delay before an attempt in ms, with jitter; it doubles with each attempt. */
  static long backoffMillis(int attempt) {
    long ceiling = BACKOFF_MILLIS << Math.min(attempt, MAX_BACKOFF_DOUBLINGS);
    return ceiling / 2 + ThreadLocalRandom.current().nextLong(ceiling);
  }
}
