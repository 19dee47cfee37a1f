package org.persimmonloom.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Ejects endpoints that fail nearly all of their requests.
 *
 * <p>At most a third of the endpoints are ejected or on probation at once. When more than that
 * fail, the cause is more likely in the requests or the network, and a smaller pool would not help.
 * Not thread-safe.
 */
final class OutlierEjection {
  private static final int MAX_UNHEALTHY_DIVISOR = 3;

  private final Map<String, EndpointHealth> health = new HashMap<>();

  /** Endpoints that may get new requests unless they are ejected. */
  private Set<String> activeEndpoints = Set.of();

  /** Replaces the endpoints; the health of those that stay is kept. */
  void setEndpoints(Collection<String> names) {
    health.keySet().retainAll(names);
    names.forEach(name -> health.computeIfAbsent(name, key -> new EndpointHealth()));
    activeEndpoints = Set.copyOf(names);
    readmitBeyondLimit();
  }

  /**
   * Removes an endpoint from the active ones. Its health is kept if the next call of {@link
   * #setEndpoints} includes it.
   */
  void remove(String name) {
    Set<String> remaining = new HashSet<>(activeEndpoints);
    remaining.remove(name);
    activeEndpoints = remaining;
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

  /** Records the result of an attempt that started at {@code startedMillis}. */
  void recordResult(String name, AttemptResult result, long startedMillis, long nowMillis) {
    EndpointHealth endpoint = health.get(name);
    if (endpoint == null || result == AttemptResult.CANCELLED) {
      return;
    }
    if (endpoint.isUnhealthy() && !endpoint.isProbing(startedMillis)) {
      // An attempt that started before or during the ejection is not a probe: it neither ends nor
      // extends it.
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

  /**
   * Readmits endpoints, those whose ejection ends first, until at most a third of the endpoints are
   * ejected or on probation.
   */
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
