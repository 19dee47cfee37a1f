package org.persimmonloom.core.routing;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.result.Failure;

/**
 * Assigns the queued requests of one service at one entry host to endpoint slots.
 *
 * <p>Implementations are confined to one thread or guarded by their owner's lock. All times are in
 * milliseconds since the epoch.
 */
public interface RequestScheduler {
  /**
   * Queues a request, or refuses it at once because the queue is full or its deadline can't be met.
   * A refused request is not queued.
   */
  Either<Failure, WorkClass> offer(PendingRequest request, long nowMillis);

  /** Assigns free slots and returns the assignments; their requests are no longer queued. */
  List<Assignment> assign(long nowMillis);

  /**
   * Frees the slot of an assignment and updates endpoint health and run time estimates. Has no
   * effect if the assignment is not in progress.
   */
  void complete(Assignment assignment, AttemptResult result, long runMillis, long nowMillis);

  /** Removes a queued request; returns false if it is not queued. */
  boolean cancel(long requestId);

  /** Removes and returns the requests whose deadline can no longer be met. */
  List<PendingRequest> expire(long nowMillis);

  /** Takes one retry from the retry budget; returns false if the budget is used up. */
  boolean tryTakeRetry(long nowMillis);

  /**
   * Replaces the endpoints that may get new requests. Assignments at removed endpoints stay in
   * progress.
   */
  void setEndpoints(List<RoutingEndpoint> endpoints, long nowMillis);

  /** Replaces this host's share of each endpoint's slots, by endpoint name. */
  void setSlotShares(Map<String, Integer> shares);

  /** Stops assigning to an endpoint until {@link #setEndpoints} names it again. */
  void removeEndpoint(String name);

  /** Returns the load that this host reports to the other entry hosts. */
  ServiceLoad load();

  /** Returns the number of assignments in progress at an endpoint. */
  int inProgress(String endpoint);
}
