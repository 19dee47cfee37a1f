package org.persimmonloom.runtime.caller;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.claim.ClaimReleased;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.ClaimSettled;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.SnapshotChunk;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.RequestSchedulerFactory;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.runtime.log.FoldListener;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * The dispatcher of each service and the endpoints that it may use, derived from the replicated
 * state.
 *
 * <p>A batch that changes definitions or hosts marks the table as out of date; {@link #refresh}
 * rebuilds it. A withdrawn service keeps its dispatcher and its endpoints until its last request
 * has ended. A service whose definition changed gets a new dispatcher; the previous one is kept in
 * the same way. Safe for any thread.
 */
@Singleton
public final class RoutingTable implements FoldListener {
  private static final Logger LOGGER = LogManager.getLogger(RoutingTable.class);

  /**
   * Limits the age of the table after changes that call no listener, such as a restored snapshot.
   */
  private static final long MAX_AGE_MILLIS = 1_000;

  private static final int MAX_WITHDRAWN_NAMES = 10_000;

  private final ReplicatedState state;
  private final RequestSchedulerFactory schedulers;
  private final SlotShareSource slotShares;
  private final LeavingHosts leaving;
  private final InstantSource clock;
  private final AtomicBoolean isDirty = new AtomicBoolean(true);
  private final Map<String, ServiceDispatcher> active = new ConcurrentHashMap<>();
  private final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
  private final Map<ServiceDispatcher, List<RoutingEndpoint>> retired = new HashMap<>();
  private final Map<String, List<RoutingEndpoint>> endpoints = new HashMap<>();
  private Set<String> lastExcluded = Set.of();
  private volatile int entryHostCount = 1;
  private volatile long assignableUntilMillis = Long.MAX_VALUE;
  private long refreshedMillis;
  private long refreshedOffset = -1;

  private record RoutingState(
      long nextOffset,
      int entryHostCount,
      Map<String, ServiceDefinition> services,
      Map<String, List<RoutingEndpoint>> available,
      Set<String> availableHosts) {}

  @Inject
  public RoutingTable(
      ReplicatedState state,
      RequestSchedulerFactory schedulers,
      SlotShareSource slotShares,
      LeavingHosts leaving,
      InstantSource clock) {
    this.state = state;
    this.schedulers = schedulers;
    this.slotShares = slotShares;
    this.leaving = leaving;
    this.clock = clock;
    state.addListener(this);
  }

  @Override
  public void folded(long offset, Batch batch, List<ProposalResult> results) {
    for (ProposalResult result : results) {
      if (result.isAccepted() && canChangeRouting(result.proposal())) {
        isDirty.set(true);
        return;
      }
    }
  }

  private static boolean canChangeRouting(Proposal proposal) {
    return !(proposal instanceof ClaimRequested
        || proposal instanceof ClaimSettled
        || proposal instanceof ClaimReleased
        || proposal instanceof SnapshotChunk);
  }

  /** Returns the dispatcher of the service, or the reason why it accepts no requests. */
  Either<Failure, ServiceDispatcher> find(String service) {
    ServiceDispatcher dispatcher = active.get(service);
    if (dispatcher != null) {
      return Either.right(dispatcher);
    }
    ResultCode code =
        withdrawn.contains(service) ? ResultCode.SERVICE_WITHDRAWN : ResultCode.SERVICE_UNKNOWN;
    return Either.left(Failure.of(code, service));
  }

  /** Rebuilds the table if it is out of date. */
  public synchronized void refresh() {
    long nowMillis = clock.millis();
    // Must be read before the excluded hosts: a newer time limit must not apply to older hosts.
    long hostListValidUntilMillis = leaving.validUntilMillis();
    Set<String> excluded = leaving.excludedHosts(nowMillis);
    boolean isOutdated =
        isDirty.getAndSet(false)
            || !excluded.equals(lastExcluded)
            || nowMillis - refreshedMillis >= MAX_AGE_MILLIS;
    if (!isOutdated) {
      assignableUntilMillis = hostListValidUntilMillis;
      return;
    }
    RoutingState routingState = state.read(fleet -> routingState(fleet, excluded));
    entryHostCount = Math.max(1, routingState.entryHostCount());
    retire(routingState.services());
    routingState
        .services()
        .forEach((name, service) -> update(service, routingState.available().get(name)));
    retired.keySet().removeIf(ServiceDispatcher::isIdle);
    retired.forEach(
        (dispatcher, used) -> removeUnavailable(dispatcher, used, routingState.availableHosts()));
    lastExcluded = excluded;
    refreshedMillis = nowMillis;
    refreshedOffset = routingState.nextOffset() - 1;
    assignableUntilMillis = hostListValidUntilMillis;
  }

  private static RoutingState routingState(FleetState fleet, Set<String> excluded) {
    Map<String, ServiceDefinition> services = new TreeMap<>(fleet.releases().services());
    Map<String, List<RoutingEndpoint>> byPool = new HashMap<>();
    Set<String> hosts = new HashSet<>();
    for (Host host : fleet.hosts().all()) {
      if (host.state() == HostState.AVAILABLE && !excluded.contains(host.name())) {
        byPool.computeIfAbsent(host.pool(), unused -> new ArrayList<>()).add(endpoint(host));
        hosts.add(host.name());
      }
    }
    Map<String, List<RoutingEndpoint>> available = new HashMap<>();
    services.forEach(
        (name, service) -> available.put(name, byPool.getOrDefault(service.pool(), List.of())));
    return new RoutingState(
        fleet.nextOffset(), fleet.entryHosts().live().size(), services, available, hosts);
  }

  private static void removeUnavailable(
      ServiceDispatcher dispatcher, List<RoutingEndpoint> used, Set<String> available) {
    for (RoutingEndpoint endpoint : used) {
      if (!available.contains(endpoint.name())) {
        dispatcher.removeEndpoint(endpoint.name());
      }
    }
  }

  private static RoutingEndpoint endpoint(Host host) {
    return new RoutingEndpoint(
        host.name(), host.facts().address(), host.facts().rack(), host.facts().dataCentre());
  }

  private void retire(Map<String, ServiceDefinition> services) {
    for (ServiceDispatcher dispatcher : List.copyOf(active.values())) {
      String name = dispatcher.service().name();
      ServiceDefinition service = services.get(name);
      if (dispatcher.service().equals(service)) {
        continue;
      }
      if (service == null) {
        LOGGER.info("service {} withdrawn", name);
        if (withdrawn.size() < MAX_WITHDRAWN_NAMES) {
          withdrawn.add(name);
        }
      }
      active.remove(name);
      List<RoutingEndpoint> used = endpoints.remove(name);
      retired.put(dispatcher, used == null ? List.of() : used);
    }
  }

  private void update(ServiceDefinition service, List<RoutingEndpoint> available) {
    String name = service.name();
    ServiceDispatcher dispatcher = active.get(name);
    if (dispatcher == null) {
      dispatcher =
          new ServiceDispatcher(
              service, schedulers.create(service), () -> assignableUntilMillis, clock);
    }
    List<RoutingEndpoint> previous = endpoints.put(name, available);
    if (previous == null || previous.isEmpty() != available.isEmpty()) {
      LOGGER.info("service {} has {} usable endpoints", name, available.size());
    }
    dispatcher.setEndpoints(available, slotShares.shares(service, available));
    active.put(name, dispatcher);
    withdrawn.remove(name);
  }

  /** Stops assigning new work to a host that refused a connection, with immediate effect. */
  void recordRefusedConnection(String host) {
    leaving.recordRefusedConnection(host, clock.millis());
    dispatchers().forEach(dispatcher -> dispatcher.removeEndpoint(host));
  }

  /** Returns the number of requests that this entry host has at an endpoint host. */
  public synchronized int requestsInProgress(String host) {
    int sum = 0;
    for (ServiceDispatcher dispatcher : dispatchers()) {
      sum += dispatcher.inProgress(host);
    }
    return sum;
  }

  /**
   * Returns whether the drain of a host can be confirmed: the table reflects the record at {@code
   * drainOffset}, so that no new work is sent, and nothing is in progress.
   */
  public synchronized boolean isDrained(String host, long drainOffset) {
    return refreshedOffset >= drainOffset && requestsInProgress(host) == 0;
  }

  /** Returns the dispatchers of all services, including withdrawn ones that still have requests. */
  synchronized List<ServiceDispatcher> dispatchers() {
    List<ServiceDispatcher> dispatchers = new ArrayList<>(active.values());
    dispatchers.addAll(retired.keySet());
    return dispatchers;
  }

  /** Returns the load of each service at this entry host, by service name. */
  public synchronized Map<String, ServiceLoad> loads() {
    Map<String, ServiceLoad> loads = new TreeMap<>();
    active.forEach((name, dispatcher) -> loads.put(name, dispatcher.load()));
    return loads;
  }

  /** Returns the number of entry hosts that share the endpoints, at least 1. */
  int entryHostCount() {
    return entryHostCount;
  }

  /** Returns the addresses of all endpoints that get new work. */
  synchronized Set<String> endpointAddresses() {
    Set<String> addresses = new HashSet<>();
    endpoints.values().forEach(list -> list.forEach(endpoint -> addresses.add(endpoint.address())));
    return addresses;
  }
}
