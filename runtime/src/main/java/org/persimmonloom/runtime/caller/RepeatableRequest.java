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
 * A request that may be sent again. It is retried at other endpoints, within the retry budget of
 * the service and the deadline, until a response with a status below 500 comes.
 *
 * <p>Without one the caller gets the last complete response, else a failure that says not run only
 * if no attempt can have reached an endpoint. Safe for any thread.
 */
final class RepeatableRequest implements RequestHandle, ServiceDispatcher.Waiter {
  private static final int MAX_ATTEMPTS = 4;

  private final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
  private final RequestContext context;
  private final ServiceDispatcher dispatcher;
  private final CallerRequest request;
  private final Set<String> tried = new HashSet<>();
  private long queuedId;
  private int attempt;
  private EndpointCall call;
  private EndpointResult last;
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
      queuedId = context.nextId();
      pending = request.pending(queuedId, attempt, tried);
    }
    Either<Failure, WorkClass> offered = dispatcher.offer(pending, this);
    offered.peek(this::classified).peekLeft(this::giveUp);
    if (answer.isDone()) {
      dispatcher.cancel(pending.id());
    }
  }

  private synchronized void classified(WorkClass offered) {
    workClass = offered;
  }

  @Override
  public void expired() {
    giveUp(
        Failure.of(
            ResultCode.DEADLINE_UNREACHABLE, request.deadlineMillis() - request.arrivedMillis()));
  }

  @Override
  public void assigned(Assignment assignment) {
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
      dispatcher.completed(assignment, AttemptResult.CANCELLED, 0);
      return;
    }
    started.result().thenAccept(result -> ended(assignment, result));
  }

  private void ended(Assignment assignment, EndpointResult result) {
    synchronized (this) {
      tried.add(assignment.endpoint().name());
      attempt++;
      call = null;
      mayHaveRun |= result.mayHaveRun();
      if (result.response() != null || last == null || last.response() == null) {
        last = result;
      }
    }
    context.ended(dispatcher, assignment, result);
    if (result.result() == AttemptResult.SUCCEEDED) {
      answer.complete(CallerAnswer.of(result.response()));
    } else if (!answer.isDone()) {
      retryOrGiveUp(result);
    }
  }

  private void retryOrGiveUp(EndpointResult result) {
    int next;
    synchronized (this) {
      next = attempt;
    }
    long delayMillis = RequestContext.backoffMillis(next);
    boolean isInTime = context.now() + delayMillis < request.deadlineMillis();
    if (next < MAX_ATTEMPTS && isInTime && dispatcher.tryTakeRetry()) {
      context.metrics.retried(request.service());
      context.timer.after(delayMillis, this::queue);
    } else {
      giveUp(Failure.of(ResultCode.ATTEMPTS_EXHAUSTED, result.reason()));
    }
  }

  private void giveUp(Failure failure) {
    EndpointResult best;
    boolean unknown;
    synchronized (this) {
      best = last;
      unknown = mayHaveRun;
    }
    if (best != null && best.response() != null) {
      answer.complete(CallerAnswer.of(best.response()));
    } else if (unknown) {
      answer.complete(new CallerAnswer(null, failure, RunOutcome.UNKNOWN));
    } else {
      answer.complete(CallerAnswer.notRun(failure));
    }
  }

  @Override
  public void cancel() {
    finish(Failure.of(ResultCode.CANCELLED));
  }

  @Override
  public void end() {
    finish(Failure.of(ResultCode.STOPPING));
  }

  private void finish(Failure failure) {
    EndpointCall running;
    long queued;
    boolean unknown;
    synchronized (this) {
      running = call;
      queued = queuedId;
      unknown = mayHaveRun || running != null;
    }
    answer.complete(
        new CallerAnswer(null, failure, unknown ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN));
    dispatcher.cancel(queued);
    if (running != null) {
      running.cancel();
    }
  }
}
