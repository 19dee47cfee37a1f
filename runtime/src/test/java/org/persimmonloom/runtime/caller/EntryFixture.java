package org.persimmonloom.runtime.caller;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import okhttp3.OkHttpClient;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.routing.EndpointCapacity;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.core.routing.RoutingLimits;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.core.routing.ServiceScheduler;
import org.persimmonloom.core.routing.SlotShares;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.endpoint.EndpointSender;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.log.LogMetrics;
import org.persimmonloom.runtime.log.LogStatus;
import org.persimmonloom.runtime.log.RecordWindow;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.settings.EntrySettings;

/** The request path of one entry host over a log and peers in memory. */
final class EntryFixture implements AutoCloseable {
  static final String RELEASE_NOTE =
      """
      [release]
      name = test
      [add pool scan-pool]
      [add service scan]
      pool = scan-pool
      short_limit_millis = 60
      slots_per_endpoint = 2
      [add pool bill-pool]
      [add service bill]
      pool = bill-pool
      repeatable = false
      slots_per_endpoint = 4
      """;

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  final HttpClient http = HttpClient.newHttpClient();
  final ReplicatedState state = new ReplicatedState();
  final RequestTimer timer = new RequestTimer();
  final LeavingHosts leaving = new LeavingHosts();
  final PrometheusRegistry registry = new PrometheusRegistry();
  final GroupCommitter committer;
  final RoutingTable routing;
  final RequestService requests;
  final CallerListener listener;
  private final LogFollower follower;

  EntryFixture(String name, MemoryLog log, MemoryPeers peers) throws Exception {
    this(name, log, peers, UnaryOperator.identity(), CallerLimits.DEFAULT);
  }

  EntryFixture(
      String name,
      MemoryLog log,
      MemoryPeers peers,
      UnaryOperator<EndpointSender> wrapper,
      CallerLimits limits)
      throws Exception {
    InstantSource clock = InstantSource.system();
    EntrySettings settings =
        new EntrySettings(
            name,
            "dc1",
            "r1",
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            List.of(),
            "token-token",
            "",
            "",
            0,
            5_000,
            600_000);
    EndpointClient client = new EndpointClient(new OkHttpClient(), clock);
    LogStatus status = new LogStatus();
    LogMetrics metrics = new LogMetrics(registry);
    committer = new GroupCommitter(log, state, settings, clock, status, metrics);
    follower =
        new LogFollower(
            log, state, status, new RecordWindow(), from -> Optional.empty(), metrics, clock);
    routing =
        new RoutingTable(
            state,
            service -> new ServiceScheduler(RoutingLimits.of(service)),
            (service, endpoints) -> evenShares(name, service, endpoints),
            leaving,
            clock);
    RequestContext context =
        new RequestContext(
            routing, new RequestMetrics(registry), timer, clock, wrapper.apply(client));
    ClaimEndProposer endProposer = new ClaimEndProposer(committer, timer);
    ClaimedRequests claimed =
        new ClaimedRequests(context, endProposer, committer, state, peers.channel(name), settings);
    requests = new RequestService(context, claimed, endProposer, Optional::empty);
    listener = new CallerListener(settings, requests, context, limits);
    follower.start();
    committer.start();
    requests.start(client);
    listener.start();
    await(() -> state.read(fleet -> !fleet.entryHosts().live().isEmpty()));
  }

  /** Returns the shares among the registered entry hosts, none of which reports a load. */
  private Map<String, Integer> evenShares(
      String name, ServiceDefinition service, List<RoutingEndpoint> endpoints) {
    Map<String, ServiceLoad> loads = new TreeMap<>();
    loads.put(name, new ServiceLoad(0, 0));
    state
        .read(fleet -> fleet.entryHosts().live())
        .forEach(host -> loads.put(host.name(), new ServiceLoad(0, 0)));
    List<EndpointCapacity> capacities =
        endpoints.stream()
            .map(
                endpoint ->
                    new EndpointCapacity(
                        endpoint.name(),
                        service.slotsPerEndpoint(),
                        service.connectionsPerEndpoint()))
            .toList();
    return SlotShares.apportion(service.name(), capacities, loads).slotsOf(name);
  }

  /** Proposes, and fails unless every proposal is accepted. */
  void propose(Proposal... proposals) throws Exception {
    for (ProposalResult result : committer.propose(List.of(proposals)).get(7, TimeUnit.SECONDS)) {
      if (!result.isAccepted()) {
        throw new AssertionError(result.detail());
      }
    }
  }

  /** Releases the services and waits until the routing table has them. */
  void release() throws Exception {
    propose(new ReleaseProposed("tester", RELEASE_NOTE, 0));
    await(() -> routing.find("scan").isRight() && routing.find("bill").isRight());
  }

  /** Admits an endpoint host to a pool and waits until the routing table has it. */
  void admit(String pool, String name, String address) throws Exception {
    propose(
        new HostAdmitted(
            new HostFacts(name, HostKind.EXECUTOR, address, "r1", "dc1", "local", 1, 1, 0, pool)));
    awaitRouted(address);
  }

  void awaitRouted(String address) throws Exception {
    await(() -> routing.endpointAddresses().contains(address));
  }

  /** Waits until the condition holds; fails after 7 s. */
  static void await(BooleanSupplier condition) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(7);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not hold within 7 s");
      }
      Thread.onSpinWait();
      Thread.sleep(1);
    }
  }

  Optional<Claim> claim(String key) {
    return state.read(fleet -> fleet.claims().find("bill", key));
  }

  static String newKey() {
    return System.currentTimeMillis() + "-abcdefgh" + System.nanoTime();
  }

  HttpRequest.Builder request(String target) {
    return HttpRequest.newBuilder(
        URI.create("http://127.0.0.1:" + listener.address().getPort() + target));
  }

  CompletableFuture<HttpResponse<String>> bill(String key, long deadlineMillis) {
    return http.sendAsync(
        request("/bill/pickup")
            .header("Persimmonloom-Request-Key", key)
            .header("Persimmonloom-Deadline-Millis", Long.toString(deadlineMillis))
            .POST(HttpRequest.BodyPublishers.ofString("pickup"))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  static String outcome(HttpResponse<?> response) {
    return response.headers().firstValue("Persimmonloom-Result").orElse("-")
        + " "
        + response.headers().firstValue("Persimmonloom-Run").orElse("-");
  }

  @Override
  public void close() throws Exception {
    listener.stop();
    timer.stop();
    committer.stop();
    follower.stop();
  }
}
