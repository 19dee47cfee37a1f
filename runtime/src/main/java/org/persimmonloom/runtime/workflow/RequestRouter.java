package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds the routes of callers' requests by the configuration in force, and logs each request for
 * which there is none, with what explains its configuration. Safe for any thread.
 */
public final class RequestRouter {
  private static final Logger LOG = LogManager.getLogger(RequestRouter.class);
  private static final int UNKNOWN_ROUTE_LINES_PER_SECOND = 20;
  private static final int MAX_LOGGED_CHARACTERS = 120;

  private final OperationsReplica operations;
  private final TableFollower follower;
  private final WorkflowMetrics metrics;
  private final LongSupplier clock;
  private final LogLimit unknownRouteLines = new LogLimit(UNKNOWN_ROUTE_LINES_PER_SECOND);

  /**
   * Creates a router.
   *
   * @param clock monotonic clock in milliseconds
   */
  RequestRouter(
      OperationsReplica operations,
      TableFollower follower,
      WorkflowMetrics metrics,
      LongSupplier clock) {
    this.operations = operations;
    this.follower = follower;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Returns the route of a request; empty if the configuration has none. */
  public Optional<FleetConfiguration.Route> route(
      FleetConfiguration configuration, String hostName, String path) {
    Optional<FleetConfiguration.Route> route = configuration.route(hostName, path);
    if (route.isEmpty()) {
      logUnknown(configuration, hostName, path);
    }
    return route;
  }

  private void logUnknown(FleetConfiguration configuration, String hostName, String path) {
    metrics.unknownRoutes.inc();
    long nowMillis = clock.getAsLong();
    if (unknownRouteLines.mayLog(nowMillis)) {
      LOG.info(
          "event=route_unknown host={} path={} version={} offset={} age_ms={} {} suppressed={}",
          printable(hostName),
          printable(path),
          configuration.version(),
          operations.configurationOffset(),
          nowMillis - follower.caughtUpMillis(),
          follower.readStatus(nowMillis),
          unknownRouteLines.takeSuppressed());
    }
  }

  /** Returns text of a caller for a line of the log, which it must not break or fill. */
  private static String printable(String text) {
    String start = text.substring(0, Math.min(MAX_LOGGED_CHARACTERS, text.length()));
    return start.replaceAll("[^\\x21-\\x7e]", "?");
  }
}
