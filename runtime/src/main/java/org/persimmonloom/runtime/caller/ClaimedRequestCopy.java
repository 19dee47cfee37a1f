package org.persimmonloom.runtime.caller;

import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.core.routing.WorkClass;

/**
 * One copy of a non-repeatable request. Waits for the claim of its key, which may be held by this
 * or another entry host. Safe for any thread.
 */
final class ClaimedRequestCopy implements RequestHandle {
  private final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
  private final RequestContext context;
  private final ServiceDispatcher dispatcher;
  private final CallerRequest request;
  private final long fingerprint;
  private ClaimExecution execution;
  private boolean waitsForAnotherCopy;
  private boolean mayRunElsewhere;
  private WorkClass workClass;

  ClaimedRequestCopy(RequestContext context, ServiceDispatcher dispatcher, CallerRequest request) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.request = request;
    fingerprint = ClaimedRequests.fingerprint(request);
  }

  CallerRequest request() {
    return request;
  }

  ServiceDispatcher dispatcher() {
    return dispatcher;
  }

  long fingerprint() {
    return fingerprint;
  }

  synchronized WorkClass workClass() {
    return execution == null ? workClass : execution.workClass();
  }

  @Override
  public CompletableFuture<CallerAnswer> answer() {
    return answer;
  }

  void finish(CallerAnswer result) {
    answer.complete(result);
  }

  /** Records that this copy waits for the claim of another copy at this host. */
  synchronized void recordLocalCopy() {
    waitsForAnotherCopy = true;
  }

  /**
   * Records that a copy at another host may run, which rules out the answer "not run" for this
   * copy.
   */
  synchronized void recordRemoteCopy() {
    waitsForAnotherCopy = true;
    mayRunElsewhere = true;
  }

  /** Ends this copy, which did not run; the answer is unknown if a copy at another host may run. */
  void finishWithoutRun(Failure failure) {
    boolean mayRun;
    synchronized (this) {
      mayRun = mayRunElsewhere;
    }
    finish(
        mayRun
            ? CallerAnswer.unknown("another copy of the request may run; " + failure.detail())
            : CallerAnswer.notRun(failure));
  }

  /**
   * Limits the wait for another copy. The wait of the first copy is limited by its claim and its
   * attempts.
   */
  void startDeadlineTimer() {
    var timeout = context.timer.after(request.deadlineMillis() - context.now(), this::onDeadline);
    answer.whenComplete((unused, failure) -> timeout.cancel(false));
  }

  private void onDeadline() {
    boolean isWaitingForCopy;
    synchronized (this) {
      isWaitingForCopy = waitsForAnotherCopy;
    }
    if (isWaitingForCopy) {
      finish(CallerAnswer.unknown("another copy of the request had not ended by the deadline"));
    }
  }

  /**
   * Answers this copy with the outcome of the execution; runs {@code onLost} if its claim was lost.
   */
  void attachTo(ClaimExecution awaited, Runnable onLost) {
    synchronized (this) {
      execution = awaited;
    }
    awaited.addWaiter();
    awaited
        .outcome()
        .thenAccept(
            outcome -> {
              if (outcome.isEmpty()) {
                recordRemoteCopy();
                clearExecution(awaited);
                context.timer.after(0, onLost);
              } else if (outcome.get().run() == RunOutcome.NOT_RUN) {
                finishWithoutRun(outcome.get().failure());
              } else {
                finish(outcome.get());
              }
            });
  }

  private synchronized void clearExecution(ClaimExecution awaited) {
    if (execution == awaited) {
      workClass = awaited.workClass();
      execution = null;
    }
  }

  @Override
  public void cancel() {
    stopWaiting(ResultCode.CANCELLED);
  }

  @Override
  public void end() {
    stopWaiting(ResultCode.STOPPING);
  }

  private void stopWaiting(ResultCode code) {
    ClaimExecution awaited;
    boolean mayRun;
    synchronized (this) {
      awaited = execution;
      mayRun = execution != null || waitsForAnotherCopy;
    }
    if (awaited != null) {
      awaited.removeWaiter();
    }
    finish(
        new CallerAnswer(null, Failure.of(code), mayRun ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN));
  }
}
