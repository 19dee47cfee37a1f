package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.core.routing.Assignment;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.PendingRequest;
import org.persimmonloom.core.routing.WorkClass;
import org.persimmonloom.runtime.endpoint.EndpointCall;
import org.persimmonloom.runtime.endpoint.EndpointResult;

/**
 * A request that may be sent more than once. It is retried at other endpoints, within the retry
 * budget of the service and the deadline, until an endpoint returns a status below 500.
 *
 * <p>Otherwise the caller gets the last complete response. If there is none, it gets a failure,
 * which is "not run" only if no attempt can have reached an endpoint. Safe for any thread.
 */
final class RepeatableRequest implements RequestHandle, ServiceDispatcher.Waiter {
  private static final int MAX_ATTEMPTS = 4;

  private final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
  private final RequestContext context;
  private final ServiceDispatcher dispatcher;
  private final CallerRequest request;
  private final Set<String> triedEndpoints = new HashSet<>();
  private long pendingId;
  private int attempt;
  private EndpointCall call;
  private EndpointResult lastResult;
  private boolean mayHaveRun;
  private WorkClass workClass;

  RepeatableRequest(RequestContext context, ServiceDispatcher dispatcher, CallerRequest request) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.request = request;
  }

  @Override
  public CompletableFuture<CallerAnswer> answer() {
    return answer;
  }

  synchronized WorkClass workClass() {
    return workClass;
  }

  /** Queues the next attempt. */
  void queue() {
    PendingRequest pending;
    synchronized (this) {
      if (answer.isDone()) {
        return;
      }
      pendingId = context.nextId();
      pending = request.pending(pendingId, attempt, triedEndpoints);
    }
    Either<Failure, WorkClass> offered = dispatcher.offer(pending, this);
    offered.peek(this::setWorkClass).peekLeft(this::fail);
    if (answer.isDone()) {
      dispatcher.cancel(pending.id());
    }
  }

  private synchronized void setWorkClass(WorkClass assigned) {
    workClass = assigned;
  }

  @Override
  public void onExpired() {
    fail(
        Failure.of(
            ResultCode.DEADLINE_UNREACHABLE, request.deadlineMillis() - request.arrivedMillis()));
  }

  @Override
  public void onAssigned(Assignment assignment) {
    EndpointCall started;
    synchronized (this) {
      if (answer.isDone()) {
        started = null;
      } else {
        workClass = assignment.workClass();
        started = context.send(request, dispatcher.service(), assignment, attempt);
        call = started;
      }
    }
    if (started == null) {
      dispatcher.releaseSlot(assignment, AttemptResult.CANCELLED, 0);
      return;
    }
    started.result().thenAccept(result -> onAttemptEnd(assignment, result));
  }

  private void onAttemptEnd(Assignment assignment, EndpointResult result) {
    synchronized (this) {
      triedEndpoints.add(assignment.endpoint().name());
      attempt++;
      call = null;
      mayHaveRun |= result.mayHaveRun();
      if (result.response() != null || lastResult == null || lastResult.response() == null) {
        lastResult = result;
      }
    }
    context.recordAttemptEnd(dispatcher, assignment, result);
    if (result.result() == AttemptResult.SUCCEEDED) {
      answer.complete(CallerAnswer.of(result.response()));
    } else if (!answer.isDone()) {
      retryOrFail(result);
    }
  }

  private void retryOrFail(EndpointResult result) {
    int nextAttempt;
    synchronized (this) {
      nextAttempt = attempt;
    }
    long delayMillis = RequestContext.backoffMillis(nextAttempt);
    boolean isInTime = context.now() + delayMillis < request.deadlineMillis();
    if (nextAttempt < MAX_ATTEMPTS && isInTime && dispatcher.tryTakeRetry()) {
      context.metrics.countRetry(request.service());
      context.timer.after(delayMillis, this::queue);
    } else {
      fail(Failure.of(ResultCode.ATTEMPTS_EXHAUSTED, result.reason()));
    }
  }

  private void fail(Failure failure) {
    EndpointResult result;
    boolean mayRun;
    synchronized (this) {
      result = lastResult;
      mayRun = mayHaveRun;
    }
    if (result != null && result.response() != null) {
      answer.complete(CallerAnswer.of(result.response()));
    } else if (mayRun) {
      answer.complete(new CallerAnswer(null, failure, RunOutcome.UNKNOWN));
    } else {
      answer.complete(CallerAnswer.notRun(failure));
    }
  }

  @Override
  public void cancel() {
    abort(Failure.of(ResultCode.CANCELLED));
  }

  @Override
  public void end() {
    abort(Failure.of(ResultCode.STOPPING));
  }

  private void abort(Failure failure) {
    EndpointCall running;
    long abortedId;
    boolean mayRun;
    synchronized (this) {
      running = call;
      abortedId = pendingId;
      mayRun = mayHaveRun || running != null;
    }
    answer.complete(
        new CallerAnswer(null, failure, mayRun ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN));
    dispatcher.cancel(abortedId);
    if (running != null) {
      running.cancel();
    }
  }
}
