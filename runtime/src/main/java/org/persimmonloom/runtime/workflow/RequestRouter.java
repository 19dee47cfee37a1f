package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Finds the routes of callers' requests by the configuration in force.
 *
 * <p>A decision needs a configuration that was the newest one a short time ago; otherwise it waits
 * until that is known. If it cannot be known, a request for a known route is served, because no
 * host may be able to know more, and one for an unknown route is not said to have none. Safe for
 * any thread.
 */
public final class RequestRouter {
  /** Less than the time within which a change has to be in force, 2 s on small deployments. */
  static final long MAX_AGE_OF_KNOWN_MILLIS = 1_900;

  /** Limits the reads that requests for unknown routes cause. */
  static final long MAX_AGE_OF_UNKNOWN_MILLIS = 250;

  /**
   * Time that a request for a known route waits; enough to ask other hosts, and short for callers
   * during an outage of the store.
   */
  private static final long KNOWN_WAIT_MILLIS = 300;

  /** Time that a request for an unknown route waits; leaves its caller time to try another host. */
  private static final long UNKNOWN_WAIT_MILLIS = 700;

  private static final Logger LOG = LogManager.getLogger(RequestRouter.class);
  private static final int UNKNOWN_ROUTE_LINES_PER_SECOND = 20;
  private static final int MAX_LOGGED_CHARACTERS = 120;

  private final OperationsReplica operations;
  private final TableFollower follower;
  private final ConfigurationVerifier verifier;
  private final WorkflowMetrics metrics;
  private final LongSupplier clock;
  private final LogLimit unknownRouteLines = new LogLimit(UNKNOWN_ROUTE_LINES_PER_SECOND);

  /** Where a request belongs. */
  public sealed interface Routing {
    /** The request belongs to a queue. */
    record Found(FleetConfiguration configuration, FleetConfiguration.Route route)
        implements Routing {}

    /** The newest configuration has no route for the request. */
    record Unknown() implements Routing {}

    /** This host does not know whether there is a route. */
    record Unconfirmed() implements Routing {}
  }

  /**
   * Creates a router.
   *
   * @param clock monotonic clock in milliseconds
   */
  RequestRouter(
      OperationsReplica operations,
      TableFollower follower,
      ConfigurationVerifier verifier,
      WorkflowMetrics metrics,
      LongSupplier clock) {
    this.operations = operations;
    this.follower = follower;
    this.verifier = verifier;
    this.metrics = metrics;
    this.clock = clock;
  }

  /**
   * Returns where a request belongs. The result is usually complete; otherwise it is completed on
   * another thread, and never with an exception.
   */
  public CompletableFuture<Routing> route(String hostName, String path) {
    // Before the configuration: one that is read later may only be newer.
    boolean isConfirmedForKnown = verifier.isConfirmed(MAX_AGE_OF_KNOWN_MILLIS);
    boolean isConfirmedForUnknown = verifier.isConfirmed(MAX_AGE_OF_UNKNOWN_MILLIS);
    Optional<OperationsReplica.InForce> known = operations.inForce();
    if (known.isEmpty()) {
      return CompletableFuture.completedFuture(new Routing.Unconfirmed());
    }
    Optional<FleetConfiguration.Route> route = known.get().configuration().route(hostName, path);
    boolean isKnown = route.isPresent();
    if (isKnown ? isConfirmedForKnown : isConfirmedForUnknown) {
      return CompletableFuture.completedFuture(decide(known.get(), route, hostName, path, true));
    }
    boolean wasFailing = verifier.isFailing();
    CompletableFuture<Boolean> confirmation =
        isKnown
            ? verifier.confirm(MAX_AGE_OF_KNOWN_MILLIS, KNOWN_WAIT_MILLIS)
            : verifier.confirm(MAX_AGE_OF_UNKNOWN_MILLIS, UNKNOWN_WAIT_MILLIS);
    if (wasFailing) {
      // Waiting would delay callers throughout an outage; the reads go on without them.
      return CompletableFuture.completedFuture(decide(hostName, path, false));
    }
    return confirmation.thenApply(isConfirmed -> decide(hostName, path, isConfirmed));
  }

  /** Decides by the configuration that is in force now. */
  private Routing decide(String hostName, String path, boolean isConfirmed) {
    OperationsReplica.InForce known = operations.inForce().orElseThrow();
    return decide(known, known.configuration().route(hostName, path), hostName, path, isConfirmed);
  }

  private Routing decide(
      OperationsReplica.InForce known,
      Optional<FleetConfiguration.Route> route,
      String hostName,
      String path,
      boolean isConfirmed) {
    if (route.isPresent()) {
      return new Routing.Found(known.configuration(), route.get());
    }
    String answer = isConfirmed ? "unknown" : "unconfirmed";
    metrics.unknownRoutes.labelValues(answer).inc();
    logWithoutRoute(answer, known, hostName, path);
    return isConfirmed ? new Routing.Unknown() : new Routing.Unconfirmed();
  }

  private void logWithoutRoute(
      String answer, OperationsReplica.InForce known, String hostName, String path) {
    long nowMillis = clock.getAsLong();
    if (unknownRouteLines.mayLog(nowMillis)) {
      LOG.info(
          "event=route_{} host={} path={} version={} offset={} age_ms={} read_age_ms={} {} suppressed={}",
          answer,
          printable(hostName),
          printable(path),
          known.configuration().version(),
          known.stored().offset(),
          verifier.ageMillis(),
          follower.ageMillis(),
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
