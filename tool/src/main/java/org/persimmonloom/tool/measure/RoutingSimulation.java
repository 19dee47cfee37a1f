package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.persimmonloom.core.routing.EndpointCapacity;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.core.routing.ServiceLoad;

/**
 * One run of one strategy: callers, entry hosts and endpoints on a simulated clock. One entry host
 * vanishes during a peak and another one replaces it. The same seed gives the same requests to each
 * strategy. Not thread-safe.
 */
final class RoutingSimulation {
  final RoutingModel model;
  final RoutingStrategy strategy;
  final EventLoop loop = new EventLoop();
  private final RoutingFigures figures = new RoutingFigures();
  private final Random balancer;
  private final RequestSource source;
  private final List<List<RoutingEndpoint>> endpoints = new ArrayList<>();
  private final List<Collection<EndpointCapacity>> capacities = new ArrayList<>();
  private final Map<String, SimulatedEndpoint> endpointsByName = new HashMap<>();
  private final Map<String, SimulatedEntryHost> hosts = new HashMap<>();

  /** Hosts that the load balancer sends to, and their weights, which are uneven but fixed. */
  private final List<SimulatedEntryHost> ready = new ArrayList<>();

  private final Map<SimulatedEntryHost, Double> weights = new HashMap<>();
  private final Set<SimulatedRequest> open = new LinkedHashSet<>();

  RoutingSimulation(RoutingModel model, RoutingStrategy strategy, long seed) {
    this.model = model;
    this.strategy = strategy;
    this.source = new RequestSource(new Random(seed));
    this.balancer = new Random(seed + 1_000_003);
    for (int service = 0; service < RoutingModel.SERVICES; service++) {
      addEndpoints(service);
    }
  }

  /** Runs to the end and returns the figures. */
  RoutingResult run() {
    for (int i = 0; i < RoutingModel.HOSTS; i++) {
      addReady(new SimulatedEntryHost("entry-" + i, i % RoutingModel.DATA_CENTRES, this));
    }
    List<ServiceLoad> idle = ready.get(0).loads();
    for (SimulatedEntryHost host : ready) {
      ready.forEach(other -> host.view.receive(other.name, idle, 0));
      host.applyShares();
    }
    for (int i = 0; i < RoutingModel.HOSTS; i++) {
      SimulatedEntryHost host = ready.get(i);
      long phase = RoutingModel.REPORT_INTERVAL_MICROS * i / RoutingModel.HOSTS;
      loop.after(phase, () -> report(host));
    }
    for (int service = 0; service < RoutingModel.SERVICES; service++) {
      scheduleArrival(service);
    }
    loop.after(RoutingModel.VANISH_MICROS, () -> vanish(ready.get(0)));
    loop.run();
    return figures.result();
  }

  List<RoutingEndpoint> endpoints(int service) {
    return endpoints.get(service);
  }

  Collection<EndpointCapacity> capacities(int service) {
    return capacities.get(service);
  }

  SimulatedEndpoint endpoint(String name) {
    return endpointsByName.get(name);
  }

  void forward(SimulatedRequest request, SimulatedEntryHost from, String holder) {
    SimulatedEntryHost to = hosts.get(holder);
    if (to == null) {
      // The peer connection is gone; the host knows that the request was not forwarded.
      from.hold(request);
      return;
    }
    request.holder = to;
    loop.after(
        model.delay(from.dataCentre, to.dataCentre),
        () -> {
          if (!to.isAlive) {
            end(request, () -> figures.vanished(false));
          } else if (!request.isEnded) {
            // A host that owns no endpoint any more passes its queue on at its next report.
            to.hold(request);
          }
        });
  }

  void refused(SimulatedRequest request) {
    end(request, () -> figures.refused(request));
  }

  void answered(SimulatedRequest request) {
    end(request, figures::answered);
  }

  private void end(SimulatedRequest request, Runnable count) {
    if (!request.isEnded) {
      request.isEnded = true;
      open.remove(request);
      count.run();
    }
  }

  private void addEndpoints(int service) {
    List<RoutingEndpoint> added = new ArrayList<>();
    List<EndpointCapacity> sizes = new ArrayList<>();
    for (int i = 0; i < RoutingModel.ENDPOINTS; i++) {
      String name = "endpoint-" + service + "-" + i;
      int dataCentre = i % RoutingModel.DATA_CENTRES;
      RoutingEndpoint endpoint =
          new RoutingEndpoint(name, name, "rack-" + i / 4, "dc-" + dataCentre);
      added.add(endpoint);
      sizes.add(new EndpointCapacity(name, RoutingModel.SLOTS, RoutingModel.CONNECTIONS));
      endpointsByName.put(name, new SimulatedEndpoint(endpoint, dataCentre, loop, figures));
    }
    endpoints.add(added);
    capacities.add(sizes);
  }

  private void addReady(SimulatedEntryHost host) {
    hosts.put(host.name, host);
    ready.add(host);
    weights.put(host, 0.5 + balancer.nextDouble());
  }

  private void scheduleArrival(int service) {
    double capacity =
        RoutingModel.ENDPOINTS * RoutingModel.SLOTS * 1_000 / RequestSource.meanRunMillis();
    double factor = RoutingModel.demandFactor(service, loop.nowMicros());
    long gap = source.gapMicros(capacity * RoutingModel.MEAN_UTILIZATION * factor);
    long periodEnd = (loop.nowMicros() / RoutingModel.PEAK_MICROS + 1) * RoutingModel.PEAK_MICROS;
    if (loop.nowMicros() + gap >= periodEnd) {
      // Arrivals have no memory: at a change of the rate, the next gap is drawn anew.
      if (periodEnd < model.runMicros()) {
        loop.after(periodEnd - loop.nowMicros(), () -> scheduleArrival(service));
      }
      return;
    }
    loop.after(gap, () -> send(service));
  }

  private void send(int service) {
    SimulatedRequest request = source.next(service, loop.nowMicros());
    figures.sent();
    open.add(request);
    SimulatedEntryHost host = balance();
    request.entry = host;
    loop.after(
        RoutingModel.CALLER_DELAY_MICROS,
        () -> {
          if (host.isAlive) {
            host.accept(request);
          } else {
            end(request, () -> figures.vanished(false));
          }
        });
    scheduleArrival(service);
  }

  private SimulatedEntryHost balance() {
    double total = ready.stream().mapToDouble(weights::get).sum();
    double point = balancer.nextDouble() * total;
    for (SimulatedEntryHost host : ready) {
      point -= weights.get(host);
      if (point < 0) {
        return host;
      }
    }
    return ready.get(ready.size() - 1);
  }

  private void report(SimulatedEntryHost host) {
    boolean isOver = loop.nowMicros() > model.runMicros() && open.isEmpty();
    if (!host.isAlive || isOver) {
      return;
    }
    List<ServiceLoad> loads = host.loads();
    for (SimulatedEntryHost other : hosts.values()) {
      long delay = model.delay(host.dataCentre, other.dataCentre);
      loop.after(
          model.reportAgeMillis() * 1_000 + delay,
          () -> {
            if (other.isAlive) {
              other.receive(host.name, loads);
            }
          });
    }
    loop.after(RoutingModel.REPORT_INTERVAL_MICROS, () -> report(host));
  }

  private void vanish(SimulatedEntryHost host) {
    host.isAlive = false;
    ready.remove(host);
    for (SimulatedRequest request : List.copyOf(open)) {
      if (request.entry == host || request.holder == host) {
        end(request, () -> figures.vanished(request.isAtEndpoint));
      }
    }
    hosts.remove(host.name);
    loop.after(RoutingModel.REPLACE_AFTER_MICROS, () -> replace(host));
  }

  /** Starts a host that knows nothing; it gets callers once its own reports have taken effect. */
  private void replace(SimulatedEntryHost old) {
    SimulatedEntryHost host = new SimulatedEntryHost("entry-new", old.dataCentre, this);
    hosts.put(host.name, host);
    report(host);
    long readyAfter = RoutingModel.REPORT_INTERVAL_MICROS + model.reportAgeMillis() * 1_000;
    loop.after(2 * readyAfter, () -> addReady(host));
  }
}
