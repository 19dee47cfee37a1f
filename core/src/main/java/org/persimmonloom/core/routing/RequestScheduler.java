package org.persimmonloom.core.routing;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.result.Failure;

/**
 * Decides, for one service at one entry host, which waiting request gets which slot.
 *
 * <p>Implementations are confined to one thread or guarded by their owner's lock. All times are in
 * milliseconds since the epoch.
 */
public interface RequestScheduler {
  /**
   * Queues a request, or refuses it at once because the queue is full or its deadline can't be met.
   * A refused request is not held.
   */
  Either<Failure, WorkClass> offer(PendingRequest request, long nowMillis);

  /** Returns the requests that get a slot now; each is in the queue no more. */
  List<Assignment> assign(long nowMillis);

  /** Frees the slot of an assignment and learns from its result. */
  void complete(Assignment assignment, AttemptResult result, long runMillis, long nowMillis);

  /** Drops a queued request; returns false if it is not queued. */
  boolean cancel(long requestId);

  /** Removes and returns the queued requests whose deadline can no longer be met. */
  List<PendingRequest> expire(long nowMillis);

  /** Returns whether the retry budget allows one more retry, and takes it from the budget. */
  boolean tryTakeRetry(long nowMillis);

  /** Replaces the endpoints that may get new work. Assignments at removed endpoints go on. */
  void setEndpoints(List<RoutingEndpoint> endpoints, long nowMillis);

  /** Replaces this host's share of each endpoint's slots, by endpoint name. */
  void setSlotShares(Map<String, Integer> shares);

  /** Stops assigning to an endpoint until {@link #setEndpoints} names it again. */
  void removeEndpoint(String name);

  /** Returns the load to tell the other entry hosts. */
  ServiceLoad load();

  /** Returns the number of assignments in progress at an endpoint. */
  int inProgress(String endpoint);
}
