package org.persimmonloom.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints of one service with this host's slot shares; chooses the endpoint of each request.
 *
 * <p>A request is assigned to an endpoint only while this host has fewer requests in progress there
 * than its share. A retry prefers an endpoint in a data centre without an earlier attempt, then one
 * in a rack without an earlier attempt. An endpoint that was tried is used again only if no other
 * endpoint is usable. Among otherwise equal endpoints, the one with the smallest fraction of its
 * share in use is chosen. Not thread-safe.
 */
final class EndpointSet {
  private static final int TRIED_PENALTY = 3;
  private static final int MAX_REMOVED_ENDPOINTS = 256;

  private final OutlierEjection ejection = new OutlierEjection();

  /**
   * Endpoints by name, including some that were removed: a retry of a request that failed at a
   * removed endpoint avoids its rack, where a maintenance wave may be in progress.
   */
  private final Map<String, RoutingEndpoint> knownEndpoints =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RoutingEndpoint> eldest) {
          return size() > currentEndpoints.size() + MAX_REMOVED_ENDPOINTS;
        }
      };

  private final Map<String, Integer> shares = new HashMap<>();
  private List<RoutingEndpoint> currentEndpoints = List.of();

  /**
   * Index where the next search starts. It advances with each search, so that hosts with equal
   * loads don't all choose the first endpoint.
   */
  private int searchStart;

  void setEndpoints(List<RoutingEndpoint> endpoints) {
    currentEndpoints = List.copyOf(endpoints);
    endpoints.forEach(endpoint -> knownEndpoints.put(endpoint.name(), endpoint));
    ejection.setEndpoints(endpoints.stream().map(RoutingEndpoint::name).toList());
  }

  /**
   * Stops assigning to an endpoint. Its health is kept if the next call of {@link #setEndpoints}
   * includes it.
   */
  void remove(String name) {
    currentEndpoints =
        currentEndpoints.stream().filter(endpoint -> !endpoint.name().equals(name)).toList();
    ejection.remove(name);
  }

  void setShares(Map<String, Integer> newShares) {
    shares.clear();
    shares.putAll(newShares);
  }

  boolean isEmpty() {
    return currentEndpoints.isEmpty();
  }

  /** Returns the number of slots that this host may use now, over all endpoints. */
  int usableSlots(long nowMillis) {
    int slots = 0;
    for (RoutingEndpoint endpoint : currentEndpoints) {
      slots += slotLimit(endpoint, nowMillis);
    }
    return slots;
  }

  void recordResult(String name, AttemptResult result, long startedMillis, long nowMillis) {
    ejection.recordResult(name, result, startedMillis, nowMillis);
  }

  /** Returns the endpoint for a request, or null if none has a free slot for it. */
  RoutingEndpoint choose(PendingRequest request, SlotUse slotUse, long nowMillis) {
    Set<String> tried = request.triedEndpoints();
    Set<String> racks = new HashSet<>();
    Set<String> dataCentres = new HashSet<>();
    for (String name : tried) {
      RoutingEndpoint endpoint = knownEndpoints.get(name);
      if (endpoint != null) {
        racks.add(endpoint.dataCentre() + "/" + endpoint.rack());
        dataCentres.add(endpoint.dataCentre());
      }
    }
    boolean hasAlternative = hasAlternative(tried, nowMillis);
    RoutingEndpoint best = null;
    double bestScore = Double.MAX_VALUE;
    for (int i = 0; i < currentEndpoints.size(); i++) {
      RoutingEndpoint endpoint = currentEndpoints.get((searchStart + i) % currentEndpoints.size());
      int slotLimit = slotLimit(endpoint, nowMillis);
      int inProgress = slotUse.inProgressAt(endpoint.name());
      int retryPenalty = retryPenalty(endpoint, tried, racks, dataCentres);
      if (inProgress >= slotLimit
          || (hasAlternative && isLastResort(endpoint, retryPenalty, nowMillis))) {
        continue;
      }
      double score = retryPenalty + (double) inProgress / (slotLimit + 1);
      if (score < bestScore) {
        best = endpoint;
        bestScore = score;
      }
    }
    searchStart = currentEndpoints.isEmpty() ? 0 : (searchStart + 1) % currentEndpoints.size();
    return best;
  }

  /**
   * Returns whether a retry should avoid the endpoint: it was tried, or it is on probation. A retry
   * is not used as a probe, because the same request would risk failing twice.
   */
  private boolean isLastResort(RoutingEndpoint endpoint, int retryPenalty, long nowMillis) {
    return retryPenalty == TRIED_PENALTY || ejection.isProbing(endpoint.name(), nowMillis);
  }

  private int slotLimit(RoutingEndpoint endpoint, long nowMillis) {
    int share = shares.getOrDefault(endpoint.name(), 0);
    return ejection.slotLimit(endpoint.name(), share, nowMillis);
  }

  private boolean hasAlternative(Set<String> tried, long nowMillis) {
    if (tried.isEmpty()) {
      return false;
    }
    return currentEndpoints.stream()
        .anyMatch(
            endpoint ->
                !tried.contains(endpoint.name())
                    && !ejection.isProbing(endpoint.name(), nowMillis)
                    && slotLimit(endpoint, nowMillis) > 0);
  }

  private static int retryPenalty(
      RoutingEndpoint endpoint, Set<String> tried, Set<String> racks, Set<String> dataCentres) {
    if (tried.contains(endpoint.name())) {
      return TRIED_PENALTY;
    }
    if (racks.contains(endpoint.dataCentre() + "/" + endpoint.rack())) {
      return 2;
    }
    return dataCentres.contains(endpoint.dataCentre()) ? 1 : 0;
  }
}
