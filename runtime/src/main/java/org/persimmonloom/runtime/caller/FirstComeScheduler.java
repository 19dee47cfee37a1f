package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.Assignment;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.PendingRequest;
import org.persimmonloom.core.routing.RequestScheduler;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.core.routing.WorkClass;

/**
 * A scheduler that serves requests in order of arrival at the least loaded endpoint, without
 * classes and ejection. Used until the scheduler of the core is bound. Confined to its owner's
 * lock.
 */
public final class FirstComeScheduler implements RequestScheduler {
  private final ServiceDefinition service;
  private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
  private final Map<String, Integer> inProgress = new HashMap<>();
  private List<RoutingEndpoint> endpoints = List.of();
  private Map<String, Integer> shares = Map.of();

  /** Creates a scheduler without endpoints. */
  public FirstComeScheduler(ServiceDefinition service) {
    this.service = service;
  }

  @Override
  public Either<Failure, WorkClass> offer(PendingRequest request, long nowMillis) {
    if (endpoints.isEmpty()) {
      return Either.left(Failure.of(ResultCode.NO_ENDPOINT, service.name()));
    }
    if (queue.size() >= service.queueLimit()) {
      return Either.left(Failure.of(ResultCode.QUEUE_FULL, service.name(), service.queueLimit()));
    }
    queue.add(request);
    return Either.right(workClass(request));
  }

  private static WorkClass workClass(PendingRequest request) {
    return request.hint() == null ? WorkClass.SHORT : request.hint();
  }

  @Override
  public List<Assignment> assign(long nowMillis) {
    List<Assignment> assigned = new ArrayList<>();
    while (!queue.isEmpty()) {
      RoutingEndpoint best = leastLoaded(queue.peek());
      if (best == null) {
        break;
      }
      PendingRequest request = queue.poll();
      inProgress.merge(best.name(), 1, Integer::sum);
      assigned.add(new Assignment(request.id(), best, workClass(request)));
    }
    return assigned;
  }

  private RoutingEndpoint leastLoaded(PendingRequest request) {
    RoutingEndpoint best = null;
    int bestLoad = Integer.MAX_VALUE;
    for (RoutingEndpoint endpoint : endpoints) {
      int used = inProgress(endpoint.name());
      int load = used + (request.triedEndpoints().contains(endpoint.name()) ? 1_000 : 0);
      if (used < shares.getOrDefault(endpoint.name(), 0) && load < bestLoad) {
        best = endpoint;
        bestLoad = load;
      }
    }
    return best;
  }

  @Override
  public void completed(
      Assignment assignment, AttemptResult result, long runMillis, long nowMillis) {
    inProgress.merge(assignment.endpoint().name(), -1, Integer::sum);
  }

  @Override
  public boolean cancel(long requestId) {
    return queue.removeIf(it -> it.id() == requestId);
  }

  @Override
  public List<PendingRequest> expire(long nowMillis) {
    List<PendingRequest> expired = new ArrayList<>();
    for (PendingRequest request : queue) {
      if (request.deadlineMillis() <= nowMillis) {
        expired.add(request);
      }
    }
    queue.removeAll(expired);
    return expired;
  }

  @Override
  public boolean tryTakeRetry(long nowMillis) {
    return true;
  }

  @Override
  public void setEndpoints(List<RoutingEndpoint> next, long nowMillis) {
    endpoints = List.copyOf(next);
  }

  @Override
  public void setSlotShares(Map<String, Integer> next) {
    shares = Map.copyOf(next);
  }

  @Override
  public void removeEndpoint(String name) {
    endpoints = endpoints.stream().filter(it -> !it.name().equals(name)).toList();
  }

  @Override
  public ServiceLoad load() {
    return new ServiceLoad(
        queue.size(), inProgress.values().stream().mapToInt(Integer::intValue).sum());
  }

  @Override
  public int inProgress(String endpoint) {
    return inProgress.getOrDefault(endpoint, 0);
  }
}
