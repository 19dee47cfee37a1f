package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.persimmonloom.core.workflow.QueuePolicy;

/**
 * Configuration of the fleet by its operators. Immutable.
 *
 * @param version version, which increases with every change
 * @param routes routes of submitters' requests to queues
 * @param services services whose workers run
 * @param spareServices services whose workers are switched off
 * @param maxBodyBytes maximum size of a request body, in bytes
 */
public record FleetConfiguration(
    long version,
    List<Route> routes,
    Set<String> services,
    Set<String> spareServices,
    int maxBodyBytes) {
  /** Copies the collections. */
  public FleetConfiguration {
    routes = List.copyOf(routes);
    services = Set.copyOf(services);
    spareServices = Set.copyOf(spareServices);
  }

  /**
   * A rule that assigns requests to a queue.
   *
   * @param hostName value of the request's Host header
   * @param pathPrefix prefix of the path
   * @param policy policy of the queue
   */
  public record Route(String hostName, String pathPrefix, QueuePolicy policy) {}

  /** Returns the queues by name. */
  public Map<String, QueuePolicy> policies() {
    return routes.stream()
        .map(Route::policy)
        .collect(
            Collectors.toMap(QueuePolicy::queue, Function.identity(), (first, second) -> first));
  }

  /** Returns the route with the longest prefix that matches a request. */
  public Optional<Route> route(String hostName, String path) {
    Route best = null;
    for (Route route : routes) {
      boolean matches = route.hostName().equals(hostName) && path.startsWith(route.pathPrefix());
      if (matches && (best == null || route.pathPrefix().length() > best.pathPrefix().length())) {
        best = route;
      }
    }
    return Optional.ofNullable(best);
  }
}
