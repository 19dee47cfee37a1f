package org.persimmonloom.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Takes endpoints that fail everything out of use.
 *
 * <p>At most a third of the endpoints are out at once, counting those on probation: when more than
 * that fail, the fault is more likely in the requests or the network, and a smaller pool would not
 * help. Not thread-safe.
 */
final class OutlierEjection {
  private static final int MAX_UNHEALTHY_DIVISOR = 3;

  private final Map<String, EndpointHealth> health = new HashMap<>();

  /** The endpoints that may get new work but for their ejection. */
  private Set<String> activeEndpoints = Set.of();

  /** Replaces the endpoints; what is known about those that stay is kept. */
  void setEndpoints(Collection<String> names) {
    health.keySet().retainAll(names);
    names.forEach(name -> health.computeIfAbsent(name, key -> new EndpointHealth()));
    activeEndpoints = Set.copyOf(names);
    readmitBeyondLimit();
  }

  /** Leaves an endpoint out of the count of endpoints, but keeps what is known about it. */
  void remove(String name) {
    Set<String> left = new HashSet<>(activeEndpoints);
    left.remove(name);
    activeEndpoints = left;
    readmitBeyondLimit();
  }

  int slotLimit(String name, int share, long nowMillis) {
    EndpointHealth endpoint = health.get(name);
    return endpoint == null ? share : endpoint.slotLimit(share, nowMillis);
  }

  boolean isProbing(String name, long nowMillis) {
    EndpointHealth endpoint = health.get(name);
    return endpoint != null && endpoint.isProbing(nowMillis);
  }

  /** Learns from the result of an attempt that began at {@code startedMillis}. */
  void recordResult(String name, AttemptResult result, long startedMillis, long nowMillis) {
    EndpointHealth endpoint = health.get(name);
    if (endpoint == null || result == AttemptResult.CANCELLED) {
      return;
    }
    if (endpoint.isUnhealthy() && !endpoint.isProbing(startedMillis)) {
      // Attempts that began before the ejection are no probes; they neither end nor extend it.
      return;
    }
    if (result == AttemptResult.SUCCEEDED) {
      endpoint.recordSuccess();
      return;
    }
    boolean exceedsFailureLimit = endpoint.recordFailure();
    if (endpoint.isUnhealthy() || (exceedsFailureLimit && unhealthy().size() < maxUnhealthy())) {
      endpoint.eject(nowMillis);
    }
  }

  /** Readmits the endpoints due soonest when the pool has become too small for so many. */
  private void readmitBeyondLimit() {
    List<EndpointHealth> unhealthy = unhealthy();
    int surplus = unhealthy.size() - maxUnhealthy();
    if (surplus > 0) {
      unhealthy.stream()
          .sorted(Comparator.comparingLong(EndpointHealth::ejectedUntilMillis))
          .limit(surplus)
          .forEach(EndpointHealth::readmit);
    }
  }

  private int maxUnhealthy() {
    return activeEndpoints.size() / MAX_UNHEALTHY_DIVISOR;
  }

  private List<EndpointHealth> unhealthy() {
    return activeEndpoints.stream().map(health::get).filter(EndpointHealth::isUnhealthy).toList();
  }
}
