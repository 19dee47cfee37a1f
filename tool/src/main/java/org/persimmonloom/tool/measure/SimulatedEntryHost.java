package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.routing.Assignment;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.PendingRequest;
import org.persimmonloom.core.routing.RoutingLimits;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.core.routing.ServiceScheduler;

/** An entry host of the simulation: one scheduler per service and a view of the others' loads. */
final class SimulatedEntryHost {
  final String name;
  final int dataCentre;
  final LoadView view = new LoadView();
  boolean isAlive = true;
  private final RoutingSimulation simulation;
  private final List<ServiceScheduler> schedulers = new ArrayList<>();
  private final List<BusyShare> busyShares = new ArrayList<>();
  private final Map<Long, SimulatedRequest> held = new LinkedHashMap<>();

  SimulatedEntryHost(String name, int dataCentre, RoutingSimulation simulation) {
    this.name = name;
    this.dataCentre = dataCentre;
    this.simulation = simulation;
    for (int service = 0; service < RoutingModel.SERVICES; service++) {
      RoutingLimits limits =
          new RoutingLimits(
              "service-" + service, RoutingModel.QUEUE_LIMIT, RoutingModel.SHORT_LIMIT_MILLIS);
      ServiceScheduler scheduler = new ServiceScheduler(limits);
      scheduler.setEndpoints(simulation.endpoints(service), 0);
      schedulers.add(scheduler);
      busyShares.add(new BusyShare());
    }
  }

  List<ServiceLoad> loads() {
    return schedulers.stream().map(ServiceScheduler::load).toList();
  }

  void receive(String host, List<ServiceLoad> loads) {
    view.receive(host, loads, simulation.loop.nowMicros());
    applyShares();
  }

  void applyShares() {
    view.forgetSilent(simulation.loop.nowMicros());
    for (int service = 0; service < RoutingModel.SERVICES; service++) {
      Map<String, Integer> shares =
          simulation.strategy.shares(name, service, simulation.capacities(service), view);
      schedulers.get(service).setSlotShares(shares);
      if (shares.isEmpty()) {
        passOnQueue(service);
      }
      assign(service);
    }
  }

  /** Forwards what waits here for a service whose endpoints other hosts own by now. */
  private void passOnQueue(int service) {
    for (SimulatedRequest request : List.copyOf(held.values())) {
      if (request.service == service && schedulers.get(service).cancel(request.id)) {
        held.remove(request.id);
        double read = busyShares.get(service).read(simulation.loop.nowMicros());
        request.behindLongMicros += read - request.waitMark;
        place(request);
      }
    }
  }

  /** Accepts a request of a caller, and holds it or forwards it. */
  void accept(SimulatedRequest request) {
    request.entry = this;
    place(request);
  }

  private void place(SimulatedRequest request) {
    String holder =
        simulation.strategy.holder(
            name, request.service, simulation.capacities(request.service), view);
    if (holder.equals(name)) {
      hold(request);
      return;
    }
    view.noteForwarded(holder, request.service);
    simulation.forward(request, this, holder);
  }

  void hold(SimulatedRequest request) {
    request.holder = this;
    long nowMillis = simulation.loop.nowMillis();
    PendingRequest pending =
        new PendingRequest(
            request.id,
            request.route,
            request.hint,
            request.sentMicros / 1_000,
            request.deadlineMillis(),
            0,
            Set.of());
    request.waitMark = busyShares.get(request.service).read(simulation.loop.nowMicros());
    if (schedulers.get(request.service).offer(pending, nowMillis).isLeft()) {
      simulation.refused(request);
      return;
    }
    held.put(request.id, request);
    assign(request.service);
  }

  private void assign(int service) {
    ServiceScheduler scheduler = schedulers.get(service);
    long nowMillis = simulation.loop.nowMillis();
    for (PendingRequest expired : scheduler.expire(nowMillis)) {
      simulation.refused(held.remove(expired.id()));
    }
    for (Assignment assignment : scheduler.assign(nowMillis)) {
      dispatch(assignment, service);
    }
  }

  private void dispatch(Assignment assignment, int service) {
    SimulatedRequest request = held.remove(assignment.requestId());
    SimulatedEndpoint endpoint = simulation.endpoint(assignment.endpoint().name());
    long sentMicros = simulation.loop.nowMicros();
    long delay = simulation.model.delay(dataCentre, endpoint.dataCentre);
    request.isAtEndpoint = true;
    BusyShare busyShare = busyShares.get(service);
    request.behindLongMicros += busyShare.read(sentMicros) - request.waitMark;
    busyShare.change(1, request.isLong, sentMicros);
    simulation.loop.after(
        delay,
        () ->
            endpoint.arrive(
                request,
                done ->
                    simulation.loop.after(delay, () -> answered(assignment, done, sentMicros))));
  }

  private void answered(Assignment assignment, SimulatedRequest request, long sentMicros) {
    if (!isAlive) {
      return;
    }
    long nowMicros = simulation.loop.nowMicros();
    long runMillis = (nowMicros - sentMicros) / 1_000;
    busyShares.get(request.service).change(-1, request.isLong, nowMicros);
    schedulers
        .get(request.service)
        .complete(assignment, AttemptResult.SUCCEEDED, runMillis, nowMicros / 1_000);
    simulation.answered(request);
    assign(request.service);
  }
}
