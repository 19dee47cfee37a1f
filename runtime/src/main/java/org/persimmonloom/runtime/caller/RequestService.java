package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.WorkClass;
import org.persimmonloom.runtime.endpoint.EndpointClient;

/**
 * Accepts requests of callers and tracks those in progress. Safe for any thread; no method blocks.
 */
@Singleton
public final class RequestService {
  private static final Logger LOGGER = LogManager.getLogger(RequestService.class);
  private static final long TICK_MILLIS = 10;
  private static final long CONNECTION_CLEANUP_MILLIS = 5_000;

  private final RequestContext context;
  private final ClaimedRequests claimed;
  private final ClaimEndProposer endProposer;
  private final AdmissionCheck admission;
  private final Set<RequestHandle> active = ConcurrentHashMap.newKeySet();
  private volatile boolean isStopping;

  @Inject
  RequestService(
      RequestContext context,
      ClaimedRequests claimed,
      ClaimEndProposer endProposer,
      AdmissionCheck admission) {
    this.context = context;
    this.claimed = claimed;
    this.endProposer = endProposer;
    this.admission = admission;
  }

  /** Starts the periodic work: routing changes, slots, expired requests, unused connections. */
  public void start(EndpointClient client) {
    context.timer.every(TICK_MILLIS, this::tick);
    context.timer.every(
        CONNECTION_CLEANUP_MILLIS, () -> client.retain(context.routing.endpointAddresses()));
  }

  private void tick() {
    try {
      context.routing.refresh();
      context.routing.dispatchers().forEach(ServiceDispatcher::tick);
    } catch (RuntimeException e) {
      // An exception would end the periodic task, and with it all routing changes.
      LOGGER.error("periodic update of routing failed", e);
    }
  }

  /** Returns the definition of the service, or the reason why it accepts no requests. */
  Either<Failure, ServiceDefinition> findAccepting(String service) {
    if (isStopping) {
      return Either.left(Failure.of(ResultCode.STOPPING));
    }
    return admission
        .reasonRefused()
        .<Either<Failure, ServiceDefinition>>map(Either::left)
        .orElseGet(() -> context.routing.find(service).map(ServiceDispatcher::service));
  }

  /** Starts a request. If it is refused, the returned handle already has its answer. */
  public RequestHandle accept(CallerRequest request) {
    Either<Failure, ServiceDispatcher> found =
        findAccepting(request.service()).flatMap(unused -> context.routing.find(request.service()));
    if (found.isLeft()) {
      CallerAnswer answer = CallerAnswer.notRun(found.getLeft());
      countRefusal(request.service(), answer);
      return new CompletedRequest(answer);
    }
    ServiceDispatcher dispatcher = found.get();
    context.metrics.countAccepted(request.service());
    if (dispatcher.service().isRepeatable()) {
      RepeatableRequest handle = new RepeatableRequest(context, dispatcher, request);
      track(handle);
      handle
          .answer()
          .thenAccept(answer -> countAnswer(dispatcher, request, handle.workClass(), answer));
      handle.queue();
      return handle;
    }
    ClaimedRequestCopy handle = claimed.submit(dispatcher, request);
    track(handle);
    handle
        .answer()
        .thenAccept(answer -> countAnswer(dispatcher, request, handle.workClass(), answer));
    return handle;
  }

  /** Counts a refusal, under the service if there is one of that name. */
  void countRefusal(String service, CallerAnswer answer) {
    context
        .routing
        .find(service)
        .peek(dispatcher -> context.metrics.countRefusal(dispatcher.service(), answer))
        .peekLeft(unused -> context.metrics.countRefusal(answer));
  }

  private void track(RequestHandle handle) {
    active.add(handle);
    handle.answer().thenAccept(unused -> active.remove(handle));
  }

  private void countAnswer(
      ServiceDispatcher dispatcher,
      CallerRequest request,
      WorkClass workClass,
      CallerAnswer answer) {
    long elapsedMillis = context.now() - request.arrivedMillis();
    context.metrics.countAnswer(dispatcher.service(), workClass, answer, elapsedMillis);
  }

  /** Refuses all further requests as not run; requests in progress continue. */
  public void refuseNew() {
    isStopping = true;
  }

  /** Completes when no request is in progress. */
  public CompletableFuture<Void> whenIdle() {
    return whenTrue(() -> active.isEmpty() && claimed.inProgress() == 0);
  }

  /** Completes when the fold has decided the settlement or release of every ended claim. */
  public CompletableFuture<Void> whenSettled() {
    return whenTrue(() -> claimed.inProgress() == 0 && endProposer.pending() == 0);
  }

  private CompletableFuture<Void> whenTrue(BooleanSupplier condition) {
    CompletableFuture<Void> reached = new CompletableFuture<>();
    pollUntil(condition, reached);
    return reached;
  }

  private void pollUntil(BooleanSupplier condition, CompletableFuture<Void> reached) {
    if (condition.getAsBoolean()) {
      reached.complete(null);
    } else if (!reached.isDone()) {
      context.timer.after(TICK_MILLIS, () -> pollUntil(condition, reached));
    }
  }

  /** Ends all requests in progress; those that may run are answered and settled as unknown. */
  public void endAll() {
    claimed.endAll();
    List.copyOf(active).forEach(RequestHandle::end);
  }

  private record CompletedRequest(CallerAnswer result) implements RequestHandle {
    @Override
    public CompletableFuture<CallerAnswer> answer() {
      return CompletableFuture.completedFuture(result);
    }

    @Override
    public void cancel() {}

    @Override
    public void end() {}
  }
}
