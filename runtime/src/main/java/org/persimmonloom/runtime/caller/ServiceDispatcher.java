package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.routing.Assignment;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.PendingRequest;
import org.persimmonloom.core.routing.RequestScheduler;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.core.routing.WorkClass;

/**
 * Synchronizes access to the scheduler of one service and notifies each queued request when it gets
 * a slot or can no longer meet its deadline.
 *
 * <p>The scheduler is used under the monitor of this object. Waiters are called outside of the
 * monitor, by one thread at a time. Safe for any thread.
 */
final class ServiceDispatcher {
  /**
   * Callbacks of a queued request. Exactly one of them is called, once, unless the request is
   * cancelled.
   */
  interface Waiter {
    /**
     * Called with a slot, which must be returned by calling {@link #releaseSlot}. Must not block.
     */
    void onAssigned(Assignment assignment);

    /** Called when the deadline can no longer be met. Must not block. */
    void onExpired();
  }

  private static final Logger LOGGER = LogManager.getLogger(ServiceDispatcher.class);

  private final ServiceDefinition service;
  private final RequestScheduler scheduler;
  private final LongSupplier assignableUntilMillis;
  private final InstantSource clock;
  private final Map<Long, Waiter> waiters = new HashMap<>();
  private final AtomicInteger undecidedClaims = new AtomicInteger();
  private boolean isRunningCalls;
  private boolean isRunRequested;

  /**
   * Creates a dispatcher.
   *
   * @param assignableUntilMillis time after which the list of endpoints is too old for assigning
   *     work
   */
  ServiceDispatcher(
      ServiceDefinition service,
      RequestScheduler scheduler,
      LongSupplier assignableUntilMillis,
      InstantSource clock) {
    this.service = service;
    this.scheduler = scheduler;
    this.assignableUntilMillis = assignableUntilMillis;
    this.clock = clock;
  }

  ServiceDefinition service() {
    return service;
  }

  /** Number of claims of this service that were proposed by this host and are undecided. */
  AtomicInteger undecidedClaims() {
    return undecidedClaims;
  }

  /**
   * Returns whether the queue will have room for a request once its claim is accepted. Without this
   * check an overloaded service would append claims only to release them at once.
   */
  synchronized boolean hasRoomForClaim() {
    return scheduler.load().queued() + undecidedClaims.get() < service.queueLimit();
  }

  /**
   * Queues a request, or returns the reason for refusing it; the waiter of a refused request is
   * never called.
   */
  Either<Failure, WorkClass> offer(PendingRequest request, Waiter waiter) {
    Either<Failure, WorkClass> workClass;
    synchronized (this) {
      workClass = scheduler.offer(request, clock.millis());
      if (workClass.isRight()) {
        waiters.put(request.id(), waiter);
      }
    }
    runPendingCalls();
    return workClass;
  }

  /** Removes a queued request. Returns true if it was queued; its waiter is then not called. */
  synchronized boolean cancel(long requestId) {
    scheduler.cancel(requestId);
    return waiters.remove(requestId) != null;
  }

  /** Returns a slot after an attempt. */
  void releaseSlot(Assignment assignment, AttemptResult result, long runMillis) {
    synchronized (this) {
      scheduler.complete(assignment, result, runMillis, clock.millis());
    }
    runPendingCalls();
  }

  synchronized boolean tryTakeRetry() {
    return scheduler.tryTakeRetry(clock.millis());
  }

  /**
   * Replaces the endpoints that get new work, and this host's share of their slots. Takes effect on
   * queued requests at the next {@link #tick}, because the caller holds the routing table's lock.
   */
  synchronized void setEndpoints(List<RoutingEndpoint> endpoints, Map<String, Integer> shares) {
    scheduler.setEndpoints(endpoints, clock.millis());
    scheduler.setSlotShares(shares);
  }

  synchronized void removeEndpoint(String name) {
    scheduler.removeEndpoint(name);
  }

  synchronized int inProgress(String endpoint) {
    return scheduler.inProgress(endpoint);
  }

  synchronized ServiceLoad load() {
    return scheduler.load();
  }

  synchronized boolean isIdle() {
    ServiceLoad load = scheduler.load();
    return load.queued() == 0 && load.inProgress() == 0;
  }

  /**
   * Expires requests and assigns slots as time passes or endpoints change; cheap while nothing is
   * queued.
   */
  void tick() {
    synchronized (this) {
      if (waiters.isEmpty()) {
        return;
      }
    }
    runPendingCalls();
  }

  /** Assigns free slots and expires requests until there are none left. */
  private void runPendingCalls() {
    synchronized (this) {
      isRunRequested = true;
      if (isRunningCalls) {
        return;
      }
      isRunningCalls = true;
    }
    List<Runnable> calls = nextCalls();
    while (calls != null) {
      calls.forEach(ServiceDispatcher::runSafely);
      calls = nextCalls();
    }
  }

  /** Returns the callbacks to run next, or null if there are none and the loop has to end. */
  private synchronized List<Runnable> nextCalls() {
    List<Runnable> calls = null;
    try {
      if (isRunRequested) {
        isRunRequested = false;
        calls = collectCalls(clock.millis());
      }
      return calls;
    } finally {
      isRunningCalls = calls != null;
    }
  }

  /** Contains an exception, so that the other requests still get their slots. */
  private static void runSafely(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      LOGGER.error("callback of a queued request failed", e);
    }
  }

  private List<Runnable> collectCalls(long nowMillis) {
    List<Runnable> calls = new ArrayList<>();
    for (PendingRequest expired : scheduler.expire(nowMillis)) {
      Optional.ofNullable(waiters.remove(expired.id()))
          .ifPresent(waiter -> calls.add(waiter::onExpired));
    }
    if (nowMillis > assignableUntilMillis.getAsLong()) {
      return calls;
    }
    for (Assignment assignment : scheduler.assign(nowMillis)) {
      Waiter waiter = waiters.remove(assignment.requestId());
      if (waiter == null) {
        scheduler.complete(assignment, AttemptResult.CANCELLED, 0, nowMillis);
        isRunRequested = true;
      } else {
        calls.add(() -> waiter.onAssigned(assignment));
      }
    }
    return calls;
  }
}
